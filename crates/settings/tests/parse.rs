//! Reading settings: defaults, numbers, durations, unknown keys and peers.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use quickcheck::quickcheck;

use base::ByteSize;
use base::NodeId;
use settings::Limits;
use settings::Role;
use settings::Settings;

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

[limits]

[peers.n1]
centre = "dc1"
internal = "127.0.0.1:9081"
voter = true
"#;

const SECOND: &str = "[peers.n2]\ncentre = \"dc2\"\ninternal = \"127.0.0.1:9082\"\n";

/// A temporary folder with the three secret files. Dropping it removes the folder.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let name = format!("berylbay-settings-{name}-{}", std::process::id());
        let folder = Self(std::env::temp_dir().join(name));
        fs::create_dir_all(&folder.0).unwrap();
        for kind in ["peers", "upstreams", "operators"] {
            fs::write(folder.0.join(kind), format!("{kind}-0123456789abcdef\n")).unwrap();
        }
        folder
    }

    fn parse(&self, text: &str) -> Result<Settings, String> {
        let file = self.0.join("node.toml");
        Settings::parse(&file, text).map_err(|findings| findings.to_string())
    }

    /// Parses the valid settings [`GOOD`] with lines added to the table `limits`.
    fn with_limits(&self, lines: &str) -> Result<Settings, String> {
        self.parse(&GOOD.replace("[limits]", &format!("[limits]\n{lines}")))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn what_is_left_out_has_its_default() {
    let folder = Folder::new("defaults");
    let settings = folder.parse(GOOD).unwrap();
    assert_eq!(settings.limits, Limits::default());
    assert_eq!(settings.node.data_dir, Some(folder.0.join("data")));
    assert_eq!(settings.secrets.peers.expose(), "peers-0123456789abcdef");
}

#[test]
fn counts_and_sizes_are_positive_whole_numbers() {
    let folder = Folder::new("counts");
    let limits = folder.with_limits("requests = 7\nbody_bytes = 9").unwrap();
    assert_eq!(limits.limits.max_requests, 7);
    assert_eq!(limits.limits.max_body_bytes, ByteSize(9));
    for bad in ["0", "-1", "1.5", "\"7\"", "true"] {
        let found = folder.with_limits(&format!("requests = {bad}"));
        let found = found.unwrap_err();
        assert!(
            found.contains("limits.requests: must be a whole"),
            "{found}"
        );
    }
}

#[test]
fn bad_spans_are_findings() {
    let folder = Folder::new("spans");
    for bad in [
        "\"\"", "\"5\"", "\"0s\"", "\"s\"", "\"5min\"", "\"-5s\"", "\"5 s\"", "5",
    ] {
        let found = folder.with_limits(&format!("stall = {bad}"));
        let found = found.expect_err(bad);
        assert!(found.contains("limits.stall: must be a time"), "{found}");
    }
}

quickcheck! {
    fn spans_are_read_in_both_units(number: u32) -> bool {
        let folder = Folder::new("units");
        let number = u64::from(number.max(1));
        let text = format!("drain = \"{number}s\"\nstall = \"{number}ms\"");
        let limits = folder.with_limits(&text).unwrap().limits;
        limits.drain_timeout == Duration::from_secs(number)
            && limits.stall_timeout == Duration::from_millis(number)
    }

    fn any_text_is_settings_or_findings(text: String) -> bool {
        let folder = Folder::new("any");
        folder.parse(&text).is_err_and(|found| !found.is_empty())
    }
}

#[test]
fn unknown_keys_and_tables_are_findings() {
    let folder = Folder::new("unknown");
    let text = format!("{GOOD}speed = 3\n[colours]\nred = 1\n");
    let found = folder.parse(&text.replace("[limits]", "[limits]\nspan = 1"));
    let found = found.unwrap_err();
    for expected in [
        "limits.span: is not a known key; known are arrival, body_bytes,",
        "peers.n1.speed: is not a known key; known are centre, internal, voter",
        "colours: is not a known table",
    ] {
        assert!(found.contains(expected), "{found}");
    }
}

#[test]
fn peers_have_their_parts() {
    let folder = Folder::new("parts");
    let settings = folder.parse(&format!("{GOOD}\n{SECOND}")).unwrap();
    assert_eq!(settings.own_peer().role, Role::Voter);
    assert_eq!(settings.peers[&NodeId(2)].role, Role::Entry);
    assert_eq!(settings.voters().collect::<Vec<_>>(), [NodeId(1)]);
    assert_eq!(settings.local_nodes().collect::<Vec<_>>(), [NodeId(1)]);
    assert_eq!(settings.centre_count(), 2);
}

#[test]
fn contradictory_peers_are_findings() {
    let folder = Folder::new("peers");
    let second = |voter: &str, port: &str| {
        let text = format!("{GOOD}\n{SECOND}voter = {voter}\n");
        folder.parse(&text.replace("9082", port))
    };
    let found = second("true", "9082").unwrap_err();
    assert!(found.contains("1, 3 or 5 voters, these are 2"), "{found}");
    let found = second("false", "9081").unwrap_err();
    assert!(found.contains("n2 and n1 have the same address"), "{found}");
    let found = folder.parse(&GOOD.replace("peers.n1", "peers.first"));
    let found = found.unwrap_err();
    assert!(found.contains("n1 is not among the peers"), "{found}");
}
