//! The operators' tool without a running node: checks of files, exit codes, timeouts.

use std::fs;
use std::net::TcpListener;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

fn cli() -> Command {
    Command::new(env!("CARGO_BIN_EXE_berylbay"))
}

fn temp_file(name: &str, text: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("berylbay-{name}-{}", std::process::id()));
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn the_example_rules_have_no_findings() {
    for name in ["lantern-works", "traders-association"] {
        let path = format!(
            "{}/../rules/examples/{name}.toml",
            env!("CARGO_MANIFEST_DIR")
        );
        let output = cli().args(["check", &path]).output().unwrap();
        assert_eq!(output.status.code(), Some(0), "{output:?}");
    }
}

#[test]
fn mistakes_are_shown_with_line_and_column() {
    let path = temp_file("mistakes.toml", "[orgs]\nlantern = { weight = 0 }\n");
    let output = cli().arg("check").arg(&path).output().unwrap();
    fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    let findings = String::from_utf8(output.stderr).unwrap();
    assert!(findings.contains(":2:"), "{findings}");
}

#[test]
fn a_node_that_does_not_answer_is_given_up_in_time() {
    // The listener's backlog accepts the connection, but nothing ever answers.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let secret = temp_file("secret", "operators-0123456789abcdef");
    let start = Instant::now();
    let output = cli()
        .args(["--node", &addr, "--timeout-ms", "300", "--secret-file"])
        .arg(&secret)
        .arg("status")
        .output()
        .unwrap();
    fs::remove_file(&secret).unwrap();
    assert!(start.elapsed() < Duration::from_secs(5));
    // `status` changes nothing, so the exit code is not the one for an unknown outcome.
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("did not answer within 300 ms"), "{error}");
}
