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
const DECIDE_EVERY: Duration = Duration::from_millis(5);

/// How often it looks while nothing does.
const IDLE_EVERY: Duration = Duration::from_millis(50);

/// How often the dispatcher is told of replicas.
const REFRESH_EVERY: Duration = Duration::from_millis(50);

/// The delay that is reckoned with to another data centre, one way.
const FAR_LINK: Duration = Duration::from_millis(4);

/// Puts the contracts of the configuration in force.
pub fn configure(node: &Node) {
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
pub async fn dispatch_on(node: Rc<Node>) {
    let mut refreshed = Time::ZERO;
    loop {
        compio::time::sleep(node.dispatch.pause()).await;
        let now = clock::now();
        if REFRESH_EVERY <= now.since(refreshed) {
            refreshed = now;
            refresh(&node, now);
        }
        decide_if_due(&node);
    }
}

/// Decides if it is time to.
fn decide_if_due(node: &Node) {
    let due = node.dispatch.dispatcher.borrow().next_poll();
    if due <= clock::now() {
        decide(node);
    }
}

/// Hands decisions to the requests that wait for them. Due after each end of a request,
/// whose place may go to another one.
pub(super) fn decide(node: &Node) {
    let decided = node.dispatch.dispatcher.borrow_mut().poll(clock::now());
    for (request, decision) in decided {
        let waiting = node.dispatch.waiting.borrow_mut().remove(&request);
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
    fn pause(&self) -> Duration {
        match self.dispatcher.borrow().waiting_count() {
            0 => IDLE_EVERY,
            _ => DECIDE_EVERY,
        }
    }
}

fn candidates(dispatch: &Dispatch, model: &ModelName, here: CentreId, now: Time) -> Vec<Candidate> {
    let routes = dispatch.routes.borrow();
    let loads = dispatch.loads.borrow();
    let routes = routes.valid_routes(model, now);
    let candidate = |replica| {
        let heard = loads.get(&replica)?;
        let link = match heard.centre == here {
            true => Duration::ZERO,
            false => FAR_LINK,
        };
        Some(Candidate {
            replica,
            centre: heard.centre,
            load: heard.load.clone(),
            load_age: now.since(heard.at),
            link_delay: link,
        })
    };
    routes
        .iter()
        .filter_map(|route| candidate(route.replica))
        .collect()
}
