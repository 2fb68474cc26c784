//! Checks the guarantees: compares what callers and operators observed with what services and
//! engines did.

use std::collections::BTreeMap;

use crate::CallOutcome;
use crate::Chat;
use crate::Finding;
use crate::KeyedCall;
use crate::Record;
use crate::VersionSample;
use harness::expected_text;

/// Returns the violated guarantees of a run.
pub fn check(record: &Record) -> Vec<Finding> {
    let mut findings = Vec::new();
    findings.extend(repeated_runs(record));
    findings.extend(
        record
            .keyed_calls
            .iter()
            .filter_map(|call| wrong_outcome(record, call)),
    );
    findings.extend(record.chats.iter().filter_map(wrong_text));
    findings.extend(version_regressions(&record.version_samples));
    findings.extend(lost_versions(record));
    findings
}

/// Keys that a service ran more than once.
fn repeated_runs(record: &Record) -> impl Iterator<Item = Finding> {
    let all = record.runs.iter().flat_map(|(service, runs)| {
        let named = move |(key, runs): (&String, &u64)| (service.clone(), key.clone(), *runs);
        runs.iter().map(named)
    });
    let repeated = all.filter(|(_, _, runs)| 1 < *runs);
    repeated.map(|(service, key, runs)| Finding::RanMoreThanOnce { service, key, runs })
}

/// A call whose reported outcomes contradict what its service ran.
fn wrong_outcome(record: &Record, call: &KeyedCall) -> Option<Finding> {
    let runs = record.runs.get(&call.service)?.get(&call.key);
    let ran = runs.is_some_and(|runs| 0 < *runs);
    let (service, key) = (call.service.clone(), call.key.clone());
    if call.outcomes.contains(&CallOutcome::Ran) && !ran {
        return Some(Finding::ReportedRunDidNotRun { service, key });
    }
    let is_refused = call
        .outcomes
        .iter()
        .all(|outcome| *outcome == CallOutcome::DidNotRun);
    (is_refused && ran).then_some(Finding::RefusedCallRan { service, key })
}

/// The received text must be a prefix of the engine's answer, and the whole answer if the
/// stream had its end marker.
fn wrong_text(chat: &Chat) -> Option<Finding> {
    let expected = expected_text(&chat.prompt, chat.tokens);
    let is_correct = match chat.is_done {
        true => chat.text == expected,
        false => expected.starts_with(&chat.text),
    };
    (!is_correct).then(|| Finding::WrongText {
        prompt: chat.prompt.clone(),
        got: chat.text.clone(),
    })
}

/// Nodes whose version in force went back without a restart.
fn version_regressions(samples: &[VersionSample]) -> Vec<Finding> {
    let mut newest = BTreeMap::new();
    let mut findings = Vec::new();
    for sample in samples {
        let before = newest.insert((sample.node, sample.incarnation), sample.version);
        if let Some(from) = before.filter(|from| sample.version < *from) {
            findings.push(Finding::VersionWentBack {
                node: sample.node,
                from,
                to: sample.version,
            });
        }
    }
    findings
}

/// Nodes that are behind the newest accepted version after all faults.
fn lost_versions(record: &Record) -> impl Iterator<Item = Finding> {
    let accepted = record.accepted;
    let behind = record
        .final_versions
        .iter()
        .filter(move |(_, version)| **version < accepted);
    behind.map(move |(node, version)| Finding::AcceptedVersionLost {
        node: *node,
        accepted,
        version: *version,
    })
}
