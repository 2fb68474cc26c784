//! Keeps the dispatcher informed, and acts on what it decides later.

use std::rc::Rc;
use std::time::Duration;

use crate::dispatch::Dispatch;
use crate::node::Node;
use base::CentreId;
use base::Contract;
use base::ModelName;
use base::Time;
use quorum::clock;
use route::Candidate;

/// How often the dispatcher looks at its queue while something waits.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How often it looks while nothing does.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How often the dispatcher is told of replicas.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// The delay that is reckoned with to another data centre, one way.
const REMOTE_LINK_DELAY: Duration = Duration::from_millis(4);

/// Puts the contracts of the configuration in force.
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

/// Decides on waiting requests, for as long as the node runs.
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

/// Decides if it is time to.
fn poll_if_due(node: &Node) {
    let due = node.dispatch.dispatcher.borrow().next_poll();
    if due <= clock::now() {
        poll_dispatcher(node);
    }
}

/// Hands decisions to the requests that wait for them. Due after each end of a request,
/// whose place may go to another one.
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

/// Tells the dispatcher which replicas may be routed to, and their loads.
fn refresh(node: &Node, now: Time) {
    let rules = node.rules();
    for model in rules.models.keys() {
        let candidates = candidates(&node.dispatch, model, node.settings.node.centre, now);
        let mut dispatcher = node.dispatch.dispatcher.borrow_mut();
        dispatcher.set_replicas(model, candidates, now);
    }
}

impl Dispatch {
    /// Time until the queue is looked at again. A request that begins to wait meanwhile
    /// was decided on when it arrived.
    fn poll_interval(&self) -> Duration {
        match self.dispatcher.borrow().waiting_count() {
            0 => IDLE_POLL_INTERVAL,
            _ => BUSY_POLL_INTERVAL,
        }
    }
}

fn candidates(dispatch: &Dispatch, model: &ModelName, here: CentreId, now: Time) -> Vec<Candidate> {
    let routes = dispatch.routes.borrow();
    let loads = dispatch.loads.borrow();
    let routes = routes.routes(model, now);
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
            age: now.since(received.reported_at),
            link,
        })
    };
    routes
        .iter()
        .filter_map(|route| candidate(route.replica))
        .collect()
}
