//! Polls of entry nodes for routes: asked of each data centre's controller, and answered.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::dispatch::HeardLoad;
use crate::node::Node;
use base::CentreId;
use base::NodeId;
use base::Time;
use net::RpcMethods;
use plan::RoutePoll;
use quorum::clock;
use wire::CompactLoad;
use wire::peer::LoadRow;
use wire::peer::PollRoutes;
use wire::peer::PollRoutesReply;

/// How often each data centre's controller is polled.
const POLL_EVERY: Duration = Duration::from_millis(700);

/// How long an answer may take.
const WITHIN: Duration = Duration::from_millis(1_000);

/// A load that was not heard of for this long is dropped.
const LOAD_LIFE: Duration = Duration::from_secs(10);

/// How old a load that did not change may be, at the controller.
const UNCHANGED_AGE: Duration = Duration::from_millis(1_500);

/// Polls between two answers with all loads.
const ALL_LOADS_EVERY: u64 = 16;

pub fn methods(methods: RpcMethods<Node>) -> RpcMethods<Node> {
    methods.register(|node: Rc<Node>, call: PollRoutes| async move { Ok(answer(&node, &call)) })
}

fn answer(node: &Node, call: &PollRoutes) -> PollRoutesReply {
    let grant = {
        let mut controller = node.control.controller.borrow_mut();
        controller.answer_poll(&call.poll, clock::now())
    };
    let loads = match grant.is_some() {
        true => changed_loads(node, &call.poll),
        false => Vec::new(),
    };
    PollRoutesReply {
        grant,
        controller: node.control.controller(),
        loads,
    }
}

/// The loads that changed since the node's last poll. All of them now and then, as an
/// answer may have been lost.
fn changed_loads(node: &Node, poll: &RoutePoll) -> Vec<LoadRow> {
    let rows = loads(node);
    let mut told = node.control.told_loads.borrow_mut();
    let told = told.entry(poll.node).or_default();
    if tells_all(poll) {
        told.clear();
    }
    let mut is_new = |row: &LoadRow| told.insert(row.replica, row.load) != Some(row.load);
    rows.into_iter().filter(|row| is_new(row)).collect()
}

/// The loads of all replicas, as their first hosts reported them.
fn loads(node: &Node) -> Vec<LoadRow> {
    let now = clock::now();
    let upstreams = node.upstreams.borrow();
    let status = node.control.status();
    let row = |replica: &plan::ReplicaStatus| {
        let heard = upstreams.host(*replica.hosts.first()?)?;
        let age = now.since(heard.at).as_millis() as u32;
        Some(LoadRow {
            replica: replica.replica,
            age_ms: age,
            load: CompactLoad::from(&heard.report.load),
        })
    };
    status.replicas.iter().filter_map(row).collect()
}

/// Polls every data centre, for as long as the node runs.
pub async fn poll_on(node: Rc<Node>) {
    let mut centres: BTreeMap<CentreId, Vec<NodeId>> = BTreeMap::new();
    for (id, peer) in &node.settings.peers {
        centres.entry(peer.centre).or_default().push(*id);
    }
    for (centre, nodes) in centres {
        compio::runtime::spawn(poll_centre(Rc::clone(&node), centre, nodes)).detach();
    }
}

async fn poll_centre(node: Rc<Node>, centre: CentreId, nodes: Vec<NodeId>) {
    let mut at = 0;
    let mut told: Option<NodeId> = None;
    loop {
        let asked = told.unwrap_or(nodes[at % nodes.len()]);
        let granted = ask(&node, centre, asked).await;
        told = match granted {
            Asked::Granted => Some(asked),
            Asked::Elsewhere(controller) if controller != asked => Some(controller),
            Asked::Elsewhere(_) | Asked::Nothing => None,
        };
        node.dispatch.set_controller(centre, told);
        if told.is_none() {
            at += 1;
        }
        compio::time::sleep(POLL_EVERY).await;
    }
}

/// What one poll brought.
enum Asked {
    Granted,
    Elsewhere(NodeId),
    Nothing,
}

async fn ask(node: &Rc<Node>, centre: CentreId, asked: NodeId) -> Asked {
    let Some(peer) = node.settings.peers.get(&asked) else {
        return Asked::Nothing;
    };
    let addr = peer.internal_addr;
    let sent = clock::now();
    let poll = node.dispatch.routes.borrow_mut().next_poll(centre, sent);
    let call = PollRoutes { poll };
    let polled = match asked == node.id() {
        true => answer(node, &call),
        false => match node.peers.call(addr, &call, WITHIN).await {
            Ok(polled) => polled,
            Err(_) => return Asked::Nothing,
        },
    };
    match polled.grant {
        Some(grant) => {
            node.dispatch.routes.borrow_mut().apply_grant(&grant);
            take_loads(node, centre, &call.poll, &polled.loads, sent);
            Asked::Granted
        }
        None => polled.controller.map_or(Asked::Nothing, Asked::Elsewhere),
    }
}

/// Takes the loads of a data centre. They are at least as old as the poll's way there, and
/// what wasn't told again is as it was.
fn take_loads(node: &Node, centre: CentreId, poll: &RoutePoll, rows: &[LoadRow], sent: Time) {
    let mut loads = node.dispatch.loads.borrow_mut();
    if tells_all(poll) {
        loads.retain(|_, heard| heard.centre != centre);
    }
    for heard in loads.values_mut().filter(|heard| heard.centre == centre) {
        heard.at = heard.at.max(sent - UNCHANGED_AGE);
    }
    for row in rows {
        let at = sent - Duration::from_millis(u64::from(row.age_ms));
        let load = row.load.into();
        loads.insert(row.replica, HeardLoad { load, at, centre });
    }
    let now = clock::now();
    loads.retain(|_, heard| now.since(heard.at) < LOAD_LIFE);
}

/// Whether the answer to a poll tells all loads, not only those that changed.
fn tells_all(poll: &RoutePoll) -> bool {
    poll.number % ALL_LOADS_EVERY == 1
}
