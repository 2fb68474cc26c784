//! The reader of a deployment's logs, on a recorded piece of one.

use std::path::Path;
use std::process::Command;

use serde_json::Value;

/// The rows of the two tables that the reader prints for a file.
fn tables(file: &Path) -> Vec<Value> {
    let output = Command::new(env!("CARGO_BIN_EXE_bench"))
        .arg("--json")
        .arg("--losses")
        .arg(file)
        .output()
        .unwrap();
    assert!(output.status.success());
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    report["tables"].as_array().unwrap().clone()
}

fn cell(row: &Value, column: usize) -> &str {
    row[column].as_str().unwrap()
}

fn write_log(name: &str, lines: &[&str]) -> std::path::PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, lines.join("\n")).unwrap();
    file
}

#[test]
fn a_recorded_log_is_counted_by_route_and_over_time() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/logs/deployment.log");
    let tables = tables(&file);
    let routes = tables[0]["rows"].as_array().unwrap();
    let notes = routes
        .iter()
        .find(|row| cell(row, 0) == "r-istrwvm")
        .unwrap();
    let counts: Vec<&str> = (1..6).map(|column| cell(notes, column)).collect();
    // Requests, on time, late after a failure, late start, long gap.
    assert_eq!(counts, ["21", "16", "3", "1", "1"]);
    let steps = tables[1]["rows"].as_array().unwrap();
    let first: Vec<&str> = (0..4).map(|column| cell(&steps[0], column)).collect();
    // From 10 s on, 10 replicas serve on 37 hosts, of which 2 are free.
    assert_eq!(first, ["10", "10", "37", "2"]);
}

#[test]
fn a_request_that_failed_once_and_is_late_is_counted_apart() {
    let head = "[2026-08-01T16:18:22Z INFO  berylbay]";
    let answered = "answered id=a route=r target=t status=200 attempts=2 first_ms=900 total_ms=950";
    let failed = "attempt failed id=a target=u failure=lost why=\"x\" next=again left_ms=5";
    let lines = [
        format!("{head} [2502] {failed}"),
        format!("{head} [2500] {answered} late=start"),
        format!("{head} [2501] refused id=b route=r status=503 why=\"all upstreams are full\""),
        "not an event".to_owned(),
    ];
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    let tables = tables(&write_log("failed-once.log", &lines));
    let row = &tables[0]["rows"][0];
    let counts: Vec<&str> = (0..8).map(|column| cell(row, column)).collect();
    assert_eq!(counts, ["r", "2", "0", "1", "0", "0", "0", "1"]);
}
