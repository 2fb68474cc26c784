//! Operators that poll versions and change the rules while faults are injected.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Record;
use crate::VersionSample;
use base::NodeId;
use harness::Operator;
use harness::rules_text;

/// Time between two polls of the version at one node.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How long one change of the rules is retried.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time between two attempts of a change.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The exit code of `berylbay` for a change that conflicts with a newer one.
const CONFLICT_EXIT_CODE: i32 = 3;

/// Records the version in force at one node at an interval, until `ended`. A version is
/// discarded if the node was restarted while it was read.
pub(crate) fn poll_versions(
    node: NodeId,
    operator: &Operator,
    incarnation: &AtomicU32,
    record: &Mutex<Record>,
    ended: &AtomicBool,
) {
    while !ended.load(Ordering::Relaxed) {
        let incarnation_before = incarnation.load(Ordering::SeqCst);
        let version = operator.config_version();
        let is_same_incarnation = incarnation_before == incarnation.load(Ordering::SeqCst);
        if let Some(version) = version.filter(|_| is_same_incarnation) {
            let sample = VersionSample {
                node,
                incarnation: incarnation_before,
                version,
            };
            record
                .lock()
                .expect("no caller panics")
                .version_samples
                .push(sample);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Changes the rules, one change at a time, through one file.
#[derive(Debug)]
pub(crate) struct RulesChanger {
    file: PathBuf,
    operators: BTreeMap<NodeId, Operator>,
    change_count: Mutex<u32>,
}

impl RulesChanger {
    pub fn new(file: PathBuf, operators: BTreeMap<NodeId, Operator>) -> Self {
        Self {
            file,
            operators,
            change_count: Mutex::new(0),
        }
    }

    /// Applies the next rules at one node after the other. Returns their version if they were
    /// accepted.
    pub fn change_rules(&self) -> Option<u64> {
        let mut change_count = self.change_count.lock().expect("no change panics");
        *change_count += 1;
        let weight = format!("weight = {}", 3 + *change_count);
        let text = rules_text(1).replace("weight = 3", &weight);
        let file = self.file.display().to_string();
        fs::write(&self.file, &text).ok()?;
        let started = Instant::now();
        let mut next_operator = self.operators.values().cycle();
        while started.elapsed() < CHANGE_TIMEOUT {
            let operator = next_operator.next()?;
            let output = operator.run_tool(&["--json", "apply", &file]).ok()?;
            if output.status.success() {
                let answer: serde_json::Value = serde_json::from_slice(&output.stdout).ok()?;
                return version_in(&answer);
            }
            if output.status.code() == Some(CONFLICT_EXIT_CODE) {
                let fetched = operator.run_tool(&["rules", "--write", &file]);
                fetched.ok().filter(|output| output.status.success());
                fs::write(&self.file, &text).ok()?;
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
        None
    }
}

/// The first `version` field in the tool's answer, at any depth.
fn version_in(answer: &serde_json::Value) -> Option<u64> {
    let fields = answer.as_object()?;
    let top_level = fields.get("version").and_then(serde_json::Value::as_u64);
    top_level.or_else(|| fields.values().find_map(version_in))
}
