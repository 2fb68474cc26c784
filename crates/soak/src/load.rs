//! Callers that send requests while faults are injected.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fastrand::Rng;

use crate::CallOutcome;
use crate::Chat;
use crate::KeyedCall;
use crate::Record;
use base::NodeId;
use harness::Caller;
use harness::Reply;

/// Services that run the call of one key at most once.
pub(crate) const AT_MOST_ONCE_SERVICES: [&str; 2] = ["orders", "dispatch"];

/// The longest pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 80;

/// The most attempts of a call that is not known to have run.
const MAX_ATTEMPTS: usize = 3;

/// The longest answer that a chat asks for, in tokens.
const MAX_TOKENS: u32 = 60;

/// Sends calls and chats one after the other until `ended`, and records their outcomes.
pub(crate) fn run_caller(
    seed: u64,
    callers: &BTreeMap<NodeId, Caller>,
    record: &Mutex<Record>,
    ended: &AtomicBool,
) {
    let mut rng = Rng::with_seed(seed);
    let mut count = 0;
    while !ended.load(Ordering::Relaxed) {
        count += 1;
        let name = format!("c{seed}-{count}");
        if rng.f64() < 0.6 {
            let call = send_keyed_call(&mut rng, callers, &name);
            record
                .lock()
                .expect("no caller panics")
                .keyed_calls
                .push(call);
        } else if let Some(chat) = stream_chat(&mut rng, callers, &name) {
            record.lock().expect("no caller panics").chats.push(chat);
        }
        std::thread::sleep(Duration::from_millis(rng.u64(0..MAX_PAUSE_MS)));
    }
}

/// Sends a call with a key to random nodes, until it is known to have run or attempts run out.
fn send_keyed_call(rng: &mut Rng, callers: &BTreeMap<NodeId, Caller>, key: &str) -> KeyedCall {
    let service = AT_MOST_ONCE_SERVICES[rng.usize(0..AT_MOST_ONCE_SERVICES.len())].to_owned();
    let mut outcomes = Vec::new();
    while outcomes.len() < MAX_ATTEMPTS && outcomes.last() != Some(&CallOutcome::Ran) {
        let caller = random_caller(rng, callers);
        let reply = caller.call(&service, "{\"batch\":1}", Some(key));
        outcomes.push(reply.map_or(CallOutcome::NoReply, |reply| outcome_of(&reply)));
    }
    KeyedCall {
        service,
        key: key.to_owned(),
        outcomes,
    }
}

fn outcome_of(reply: &Reply) -> CallOutcome {
    match reply.ran() {
        "run" => CallOutcome::Ran,
        "not-run" => CallOutcome::DidNotRun,
        _ => CallOutcome::Unknown,
    }
}

/// Streams a chat at a random node. Returns `None` if no stream began.
fn stream_chat(rng: &mut Rng, callers: &BTreeMap<NodeId, Caller>, prompt: &str) -> Option<Chat> {
    let tokens = rng.u32(1..=MAX_TOKENS);
    let reply = random_caller(rng, callers).chat(prompt, tokens).ok()?;
    (reply.status == 200).then(|| Chat {
        prompt: prompt.to_owned(),
        tokens,
        text: reply.text(),
        is_done: reply.is_done(),
    })
}

fn random_caller<'a>(rng: &mut Rng, callers: &'a BTreeMap<NodeId, Caller>) -> &'a Caller {
    let index = rng.usize(0..callers.len());
    callers.values().nth(index).expect("a run has nodes")
}
