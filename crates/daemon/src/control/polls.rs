//! Polls each data centre's controller for routes, and answers such polls.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::dispatch::ReceivedLoad;
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

/// How often each data centre's controller is reply.
const POLL_INTERVAL: Duration = Duration::from_millis(700);

/// How long an answer to a poll may take.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Loads older than this are removed.
const MAX_LOAD_AGE: Duration = Duration::from_secs(10);

/// The assumed age, at the controller, of a load that was not sent again because it did
/// not change.
const UNCHANGED_LOAD_AGE: Duration = Duration::from_millis(1_500);

/// One in this many polls is answered with all loads, not only those that changed.
const POLLS_PER_FULL_ANSWER: u64 = 16;

pub fn methods(methods: RpcMethods<Node>) -> RpcMethods<Node> {
    methods
        .register(|node: Rc<Node>, call: PollRoutes| async move { Ok(answer_poll(&node, &call)) })
}

fn answer_poll(node: &Node, call: &PollRoutes) -> PollRoutesReply {
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

/// The loads that changed since the node's last poll. All loads are sent at intervals,
/// because an answer may have been lost.
fn changed_loads(node: &Node, poll: &RoutePoll) -> Vec<LoadRow> {
    let rows = loads(node);
    let mut sent_loads = node.control.sent_loads.borrow_mut();
    let sent = sent_loads.entry(poll.node).or_default();
    if wants_all_loads(poll) {
        sent.clear();
    }
    let mut is_new = |row: &LoadRow| sent.insert(row.replica, row.load) != Some(row.load);
    rows.into_iter().filter(|row| is_new(row)).collect()
}

/// The loads of all replicas, as their first hosts reported them.
fn loads(node: &Node) -> Vec<LoadRow> {
    let now = clock::now();
    let upstreams = node.upstreams.borrow();
    let status = node.control.status();
    let row = |replica: &plan::ReplicaStatus| {
        let received = upstreams.host(*replica.hosts.first()?)?;
        let age = now.since(received.received_at).as_millis() as u32;
        Some(LoadRow {
            replica: replica.replica,
            age_ms: age,
            load: CompactLoad::from(&received.report.load),
        })
    };
    status.replicas.iter().filter_map(row).collect()
}

/// Polls every data centre, for as long as the node runs.
pub async fn poll_routes(node: Rc<Node>) {
    let mut centres: BTreeMap<CentreId, Vec<NodeId>> = BTreeMap::new();
    for (id, peer) in &node.settings.peers {
        centres.entry(peer.centre).or_default().push(*id);
    }
    for (centre, nodes) in centres {
        compio::runtime::spawn(poll_centre(Rc::clone(&node), centre, nodes)).detach();
    }
}

async fn poll_centre(node: Rc<Node>, centre: CentreId, nodes: Vec<NodeId>) {
    let mut next_index = 0;
    let mut controller: Option<NodeId> = None;
    loop {
        let target = controller.unwrap_or(nodes[next_index % nodes.len()]);
        let outcome = poll_node(&node, centre, target).await;
        controller = match outcome {
            PollOutcome::Granted => Some(target),
            PollOutcome::OtherController(other) if other != target => Some(other),
            PollOutcome::OtherController(_) | PollOutcome::NoController => None,
        };
        node.dispatch.set_controller(centre, controller);
        if controller.is_none() {
            next_index += 1;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The outcome of one poll.
enum PollOutcome {
    /// The node granted routes.
    Granted,
    /// It named another node as the controller.
    OtherController(NodeId),
    /// It did not answer, or knows of no controller.
    NoController,
}

async fn poll_node(node: &Rc<Node>, centre: CentreId, target: NodeId) -> PollOutcome {
    let Some(peer) = node.settings.peers.get(&target) else {
        return PollOutcome::NoController;
    };
    let addr = peer.internal_addr;
    let sent = clock::now();
    let poll = node.dispatch.routes.borrow_mut().next_poll(centre, sent);
    let call = PollRoutes { poll };
    let reply = match target == node.id() {
        true => answer_poll(node, &call),
        false => match node.peers.call(addr, &call, POLL_TIMEOUT).await {
            Ok(reply) => reply,
            Err(_) => return PollOutcome::NoController,
        },
    };
    match reply.grant {
        Some(grant) => {
            node.dispatch.routes.borrow_mut().apply_grant(&grant);
            record_loads(node, centre, &call.poll, &reply.loads, sent);
            PollOutcome::Granted
        }
        None => reply
            .controller
            .map_or(PollOutcome::NoController, PollOutcome::OtherController),
    }
}

/// Records the loads of a data centre. Their ages count from when the poll was sent, so
/// none is taken for newer than it is. A load that was not sent again is unchanged.
fn record_loads(node: &Node, centre: CentreId, poll: &RoutePoll, rows: &[LoadRow], sent: Time) {
    let mut loads = node.dispatch.loads.borrow_mut();
    if wants_all_loads(poll) {
        loads.retain(|_, received| received.centre != centre);
    }
    for received in loads
        .values_mut()
        .filter(|received| received.centre == centre)
    {
        received.reported_at = received.reported_at.max(sent - UNCHANGED_LOAD_AGE);
    }
    for row in rows {
        let reported_at = sent - Duration::from_millis(u64::from(row.age_ms));
        let load = row.load.into();
        loads.insert(
            row.replica,
            ReceivedLoad {
                load,
                reported_at,
                centre,
            },
        );
    }
    let now = clock::now();
    loads.retain(|_, received| now.since(received.reported_at) < MAX_LOAD_AGE);
}

/// Whether the answer to a poll has all loads, not only those that changed.
fn wants_all_loads(poll: &RoutePoll) -> bool {
    poll.number % POLLS_PER_FULL_ANSWER == 1
}
