//! Settings that cannot be used: every finding, exit code 2, nothing started.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("berylbay-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        Self(folder)
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }

    fn check(&self) -> Output {
        Command::new(env!("CARGO_BIN_EXE_berylbayd"))
            .arg("--settings")
            .arg(self.0.join("node.toml"))
            .arg("--check")
            .output()
            .unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

const GOOD: &str = r#"
[node]
id = "n1"
centre = "dc1"
callers = "127.0.0.1:8081"
internal = "127.0.0.1:9081"
data = "data"

[secrets]
peers = "peers"
upstreams = "upstreams"
operators = "operators"

[peers.n1]
centre = "dc1"
internal = "127.0.0.1:9081"
voter = true
"#;

fn with_secrets(name: &str) -> Folder {
    let folder = Folder::new(name);
    for kind in ["peers", "upstreams", "operators"] {
        folder.write(kind, &format!("{kind}-0123456789abcdef\n"));
    }
    folder
}

#[test]
fn good_settings_have_no_findings() {
    let folder = with_secrets("good");
    folder.write("node.toml", GOOD);
    let output = folder.check();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn all_findings_come_together_with_their_places() {
    let folder = with_secrets("bad");
    folder.write("operators", "short");
    let text = GOOD
        .replace("callers = \"127.0.0.1:8081\"", "callers = \"nowhere\"")
        .replace("voter = true", "voter = \"yes\"\nspeed = 3");
    folder.write("node.toml", &text);
    let output = folder.check();
    assert_eq!(output.status.code(), Some(2));
    let found = String::from_utf8(output.stderr).unwrap();
    assert!(
        found.contains("node.toml:5:1: node.callers: cannot read \"nowhere\""),
        "{found}"
    );
    assert!(
        found.contains("node.toml:12:1: secrets.operators:"),
        "{found}"
    );
    assert!(
        found.contains("node.toml:17:1: peers.n1.voter: must be true or false"),
        "{found}"
    );
    assert!(
        found.contains("node.toml:18:1: peers.n1.speed: is not a known key"),
        "{found}"
    );
}

#[test]
fn contradictions_are_found() {
    let folder = with_secrets("contradictions");
    folder.write("upstreams", "peers-0123456789abcdef");
    let text = GOOD.replace("centre = \"dc1\"\ncallers", "centre = \"dc2\"\ncallers");
    folder.write("node.toml", &text.replace("data = \"data\"\n", ""));
    let output = folder.check();
    let found = String::from_utf8(output.stderr).unwrap();
    assert!(
        found.contains("dc2 here, but dc1 among the peers"),
        "{found}"
    );
    assert!(found.contains("the three secrets must differ"), "{found}");
    assert!(found.contains("a voter needs a folder"), "{found}");
}

#[test]
fn a_missing_file_is_a_finding() {
    let folder = Folder::new("missing");
    let output = folder.check();
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn the_catalogue_of_events_is_the_one_in_the_docs() {
    let output = Command::new(env!("CARGO_BIN_EXE_berylbayd"))
        .arg("--events")
        .output()
        .unwrap();
    let catalogue = String::from_utf8(output.stdout).unwrap();
    let docs = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
    let docs = fs::read_to_string(docs).unwrap();
    assert!(
        docs.contains(&catalogue),
        "docs/EVENTS.md lacks:\n{catalogue}"
    );
}

#[test]
fn every_kind_of_refusal_is_on_the_callers_pages_with_its_status() {
    let daemon = Command::new(env!("CARGO_BIN_EXE_berylbayd"));
    let output = { daemon }.arg("--problems").output().unwrap();
    let kinds = String::from_utf8(output.stdout).unwrap();
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/callers/chats.md");
    let page = fs::read_to_string(page).unwrap();
    for line in kinds.lines() {
        let (kind, status) = line.split_once(' ').unwrap();
        let row = format!("| `{kind}` | {status} |");
        assert!(
            page.contains(&row),
            "docs/callers/chats.md lacks the row {row}"
        );
    }
}
