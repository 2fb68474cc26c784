//! Compares what callers were told with what services and engines did.

use std::collections::BTreeMap;

use crate::Chat;
use crate::Finding;
use crate::Order;
use crate::Record;
use crate::Said;
use crate::Seen;
use harness::expected_text;

/// The broken promises of a run.
pub fn check(record: &Record) -> Vec<Finding> {
    let mut findings = Vec::new();
    findings.extend(ran_again(record));
    findings.extend(
        record
            .orders
            .iter()
            .filter_map(|order| truth(record, order)),
    );
    findings.extend(record.chats.iter().filter_map(text));
    findings.extend(went_back(&record.seen));
    findings.extend(forgotten(record));
    findings
}

fn ran_again(record: &Record) -> impl Iterator<Item = Finding> {
    let all = record.runs.iter().flat_map(|(service, runs)| {
        let named = move |(key, runs): (&String, &u64)| (service.clone(), key.clone(), *runs);
        runs.iter().map(named)
    });
    let again = all.filter(|(_, _, runs)| 1 < *runs);
    again.map(|(service, key, runs)| Finding::RanAgain { service, key, runs })
}

fn truth(record: &Record, order: &Order) -> Option<Finding> {
    let runs = record.runs.get(&order.service)?.get(&order.key);
    let ran = runs.is_some_and(|runs| 0 < *runs);
    let (service, key) = (order.service.clone(), order.key.clone());
    if order.said.contains(&Said::Run) && !ran {
        return Some(Finding::DidNotRun { service, key });
    }
    let is_refused = order.said.iter().all(|said| *said == Said::NotRun);
    (is_refused && ran).then_some(Finding::DidRun { service, key })
}

/// What came must be the beginning of the answer, and all of it if the stream says so.
fn text(chat: &Chat) -> Option<Finding> {
    let whole = expected_text(&chat.prompt, chat.tokens);
    let is_right = match chat.is_done {
        true => chat.text == whole,
        false => whole.starts_with(&chat.text),
    };
    (!is_right).then(|| Finding::WrongText {
        prompt: chat.prompt.clone(),
        got: chat.text.clone(),
    })
}

fn went_back(seen: &[Seen]) -> Vec<Finding> {
    let mut newest = BTreeMap::new();
    let mut findings = Vec::new();
    for now in seen {
        let before = newest.insert((now.node, now.life), now.version);
        if let Some(from) = before.filter(|from| now.version < *from) {
            findings.push(Finding::WentBack {
                node: now.node,
                from,
                to: now.version,
            });
        }
    }
    findings
}

fn forgotten(record: &Record) -> impl Iterator<Item = Finding> {
    let accepted = record.accepted;
    let older = record.last.iter().filter(move |(_, has)| **has < accepted);
    older.map(move |(node, has)| Finding::Forgotten {
        node: *node,
        accepted,
        has: *has,
    })
}
