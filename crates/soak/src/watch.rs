//! Operators that look at versions and change the rules while faults come and go.

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
use crate::Seen;
use base::NodeId;
use harness::Operator;
use harness::rules_text;

/// Time between two looks at one node.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// How long an operator tries to put a change in force.
const CHANGE_WITHIN: Duration = Duration::from_secs(8);

/// Time between two tries.
const TRY_EVERY: Duration = Duration::from_millis(200);

/// The tool's exit code for a change that another one was faster than.
const CONFLICT: i32 = 3;

/// Looks at the version at one node again and again, until `ended`.
pub(crate) fn look_on(
    node: NodeId,
    operator: &Operator,
    life: &AtomicU32,
    record: &Mutex<Record>,
    ended: &AtomicBool,
) {
    while !ended.load(Ordering::Relaxed) {
        let before = life.load(Ordering::SeqCst);
        let version = operator.config_version();
        let is_same = before == life.load(Ordering::SeqCst);
        if let Some(version) = version.filter(|_| is_same) {
            let seen = Seen {
                node,
                life: before,
                version,
            };
            record.lock().expect("no caller panics").seen.push(seen);
        }
        std::thread::sleep(LOOK_EVERY);
    }
}

/// Changes rules, one change at a time, from one file.
#[derive(Debug)]
pub(crate) struct Changes {
    file: PathBuf,
    operators: BTreeMap<NodeId, Operator>,
    made: Mutex<u32>,
}

impl Changes {
    pub fn new(file: PathBuf, operators: BTreeMap<NodeId, Operator>) -> Self {
        Self {
            file,
            operators,
            made: Mutex::new(0),
        }
    }

    /// Puts the next rules in force. Gives their version if they were accepted.
    pub fn make(&self) -> Option<u64> {
        let mut made = self.made.lock().expect("no change panics");
        *made += 1;
        let weight = format!("weight = {}", 3 + *made);
        let text = rules_text(1).replace("weight = 3", &weight);
        let file = self.file.display().to_string();
        fs::write(&self.file, &text).ok()?;
        let begun = Instant::now();
        let mut turn = self.operators.values().cycle();
        while begun.elapsed() < CHANGE_WITHIN {
            let operator = turn.next()?;
            let output = operator.run_tool(&["--json", "apply", &file]).ok()?;
            if output.status.success() {
                let reply: serde_json::Value = serde_json::from_slice(&output.stdout).ok()?;
                return version_in(&reply);
            }
            if output.status.code() == Some(CONFLICT) {
                let fetched = operator.run_tool(&["rules", "--write", &file]);
                fetched.ok().filter(|output| output.status.success());
                fs::write(&self.file, &text).ok()?;
            }
            std::thread::sleep(TRY_EVERY);
        }
        None
    }
}

/// The version in the tool's answer, wherever it stands.
fn version_in(reply: &serde_json::Value) -> Option<u64> {
    let fields = reply.as_object()?;
    let own = fields.get("version").and_then(serde_json::Value::as_u64);
    own.or_else(|| fields.values().find_map(version_in))
}
