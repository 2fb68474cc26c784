//! `berylbayd --check` reports all findings in invalid settings and exits with code 2.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

struct TempFolder(PathBuf);

impl TempFolder {
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

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

const VALID_SETTINGS: &str = r#"
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

/// A folder with the three secrets, to which the settings refer.
fn folder_with_secrets(name: &str) -> TempFolder {
    let folder = TempFolder::new(name);
    for kind in ["peers", "upstreams", "operators"] {
        folder.write(kind, &format!("{kind}-0123456789abcdef\n"));
    }
    folder
}

#[test]
fn good_settings_have_no_findings() {
    let folder = folder_with_secrets("good");
    folder.write("node.toml", VALID_SETTINGS);
    let output = folder.check();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn all_findings_come_together_with_their_places() {
    let folder = folder_with_secrets("bad");
    folder.write("operators", "short");
    let text = VALID_SETTINGS
        .replace("callers = \"127.0.0.1:8081\"", "callers = \"nowhere\"")
        .replace("voter = true", "voter = \"yes\"\nspeed = 3");
    folder.write("node.toml", &text);
    let output = folder.check();
    assert_eq!(output.status.code(), Some(2));
    let findings = String::from_utf8(output.stderr).unwrap();
    assert!(
        findings.contains("node.toml:5:1: node.callers: cannot read \"nowhere\""),
        "{findings}"
    );
    assert!(
        findings.contains("node.toml:12:1: secrets.operators:"),
        "{findings}"
    );
    assert!(
        findings.contains("node.toml:17:1: peers.n1.voter: must be true or false"),
        "{findings}"
    );
    assert!(
        findings.contains("node.toml:18:1: peers.n1.speed: is not a known key"),
        "{findings}"
    );
}

#[test]
fn contradictions_are_found() {
    let folder = folder_with_secrets("contradictions");
    folder.write("upstreams", "peers-0123456789abcdef");
    let text = VALID_SETTINGS.replace("centre = \"dc1\"\ncallers", "centre = \"dc2\"\ncallers");
    folder.write("node.toml", &text.replace("data = \"data\"\n", ""));
    let output = folder.check();
    let findings = String::from_utf8(output.stderr).unwrap();
    assert!(
        findings.contains("dc2 here, but dc1 among the peers"),
        "{findings}"
    );
    assert!(
        findings.contains("the three secrets must differ"),
        "{findings}"
    );
    assert!(findings.contains("a voter needs a folder"), "{findings}");
}

#[test]
fn a_missing_file_is_a_finding() {
    let folder = TempFolder::new("missing");
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
