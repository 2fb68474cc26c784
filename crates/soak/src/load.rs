//! Callers that go on while faults come and go.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fastrand::Rng;

use crate::Chat;
use crate::Order;
use crate::Record;
use crate::Said;
use base::NodeId;
use harness::Caller;
use harness::Reply;

/// Services whose calls run at most once under a key.
pub(crate) const ORDERS: [&str; 2] = ["orders", "dispatch"];

/// The longest pause between two requests of a caller, in milliseconds.
const PAUSE_MS: u64 = 80;

/// How often a call is sent whose outcome is not known.
const SENDS: usize = 3;

/// The longest answer in tokens.
const TOKENS: u32 = 60;

/// One caller, until `ended`.
pub(crate) fn call_on(
    id: u64,
    nodes: &BTreeMap<NodeId, Caller>,
    record: &Mutex<Record>,
    ended: &AtomicBool,
) {
    let mut rng = Rng::with_seed(id);
    let mut count = 0;
    while !ended.load(Ordering::Relaxed) {
        count += 1;
        let name = format!("c{id}-{count}");
        if rng.f64() < 0.6 {
            let order = order(&mut rng, nodes, &name);
            record.lock().expect("no caller panics").orders.push(order);
        } else if let Some(chat) = chat(&mut rng, nodes, &name) {
            record.lock().expect("no caller panics").chats.push(chat);
        }
        std::thread::sleep(Duration::from_millis(rng.u64(0..PAUSE_MS)));
    }
}

/// Sends a call at one node after the other until it is known to have run.
fn order(rng: &mut Rng, nodes: &BTreeMap<NodeId, Caller>, key: &str) -> Order {
    let service = ORDERS[rng.usize(0..ORDERS.len())].to_owned();
    let mut said = Vec::new();
    while said.len() < SENDS && said.last() != Some(&Said::Run) {
        let caller = any(rng, nodes);
        let reply = caller.call(&service, "{\"batch\":1}", Some(key));
        said.push(reply.map_or(Said::Nothing, |reply| said_by(&reply)));
    }
    Order {
        service,
        key: key.to_owned(),
        said,
    }
}

fn said_by(reply: &Reply) -> Said {
    match reply.ran() {
        "run" => Said::Run,
        "not-run" => Said::NotRun,
        _ => Said::Unknown,
    }
}

/// Streams a chat. Nothing if there was no stream.
fn chat(rng: &mut Rng, nodes: &BTreeMap<NodeId, Caller>, prompt: &str) -> Option<Chat> {
    let tokens = rng.u32(1..=TOKENS);
    let reply = any(rng, nodes).chat(prompt, tokens).ok()?;
    (reply.status == 200).then(|| Chat {
        prompt: prompt.to_owned(),
        tokens,
        text: reply.text(),
        is_done: reply.is_done(),
    })
}

fn any<'a>(rng: &mut Rng, nodes: &'a BTreeMap<NodeId, Caller>) -> &'a Caller {
    let at = rng.usize(0..nodes.len());
    nodes.values().nth(at).expect("there are nodes")
}
