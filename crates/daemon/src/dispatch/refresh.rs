//! Updates the dispatcher with contracts, replicas and loads, and delivers its decisions.

use std::rc::Rc;
use std::time::Duration;

use crate::dispatch::Dispatch;
use crate::dispatch::resting_replica;
use crate::node::Node;
use base::Contract;
use base::ModelName;
use base::Time;
use quorum::clock;
use route::Candidate;

/// Time between two polls of the dispatcher while requests are queued.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time between two polls of the dispatcher while none is queued.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two updates of the dispatcher's replicas.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// The assumed one-way network delay to another data centre.
const REMOTE_LINK_DELAY: Duration = Duration::from_millis(4);

/// Sets the dispatcher's contracts from the configuration in force.
pub fn set_contracts(node: &Node) {
    let rules = node.rules();
    let contracts: Vec<Contract> = rules
        .contracts
        .values()
        .map(|r| r.contract.clone())
        .collect();
    let mut dispatcher = node.dispatch.dispatcher.borrow_mut();
    dispatcher.set_contracts(&contracts, clock::now());
}

/// Updates and polls the dispatcher, for as long as the node runs.
pub async fn run_dispatcher(node: Rc<Node>) {
    let mut refreshed = Time::ZERO;
    loop {
        compio::time::sleep(node.dispatch.poll_interval()).await;
        let now = clock::now();
        if REFRESH_INTERVAL <= now.since(refreshed) {
            refreshed = now;
            refresh(&node, now);
        }
        poll_if_due(&node);
    }
}

/// Polls the dispatcher if its next poll is due.
fn poll_if_due(node: &Node) {
    let due = node.dispatch.dispatcher.borrow().next_poll();
    if due <= clock::now() {
        poll_dispatcher(node);
    }
}

/// Polls the dispatcher and delivers its decisions to the queued requests. Also called
/// whenever a request ends, because its slot may go to another one.
pub(super) fn poll_dispatcher(node: &Node) {
    let decisions = node.dispatch.dispatcher.borrow_mut().poll(clock::now());
    for (request, decision) in decisions {
        let waiting = node
            .dispatch
            .pending_decisions
            .borrow_mut()
            .remove(&request);
        if let Some(tx) = waiting {
            let _ = tx.try_send(decision);
        }
    }
}

/// Updates the dispatcher with the replicas that may be routed to, and their loads.
fn refresh(node: &Node, now: Time) {
    let rules = node.rules();
    for model in rules.models.keys() {
        let candidates = candidates(node, model, now);
        let mut dispatcher = node.dispatch.dispatcher.borrow_mut();
        dispatcher.set_replicas(model, candidates, now);
    }
}

impl Dispatch {
    /// Time until the next poll. A request that is queued meanwhile needs none earlier: it was
    /// decided on at its arrival.
    fn poll_interval(&self) -> Duration {
        match self.dispatcher.borrow().waiting_count() {
            0 => IDLE_POLL_INTERVAL,
            _ => BUSY_POLL_INTERVAL,
        }
    }
}

fn candidates(node: &Node, model: &ModelName, now: Time) -> Vec<Candidate> {
    let (dispatch, here) = (&node.dispatch, node.settings.node.centre);
    let routes = dispatch.routes.borrow();
    let loads = dispatch.loads.borrow();
    let routes = routes.valid_routes(model, now);
    let candidate = |replica| {
        let received = loads.get(&replica)?;
        let link = match received.centre == here {
            true => Duration::ZERO,
            false => REMOTE_LINK_DELAY,
        };
        Some(Candidate {
            replica,
            centre: received.centre,
            load: received.load.clone(),
            load_age: now.since(received.reported_at),
            link_delay: link,
        })
    };
    routes
        .iter()
        .filter(|route| node.rests.may_send(resting_replica(route)))
        .filter_map(|route| candidate(route.replica))
        .collect()
}
