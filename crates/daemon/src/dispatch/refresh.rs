//! Keeps the dispatcher informed, and acts on what it decides later.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::dispatch::Dispatch;
use crate::node::Node;
use base::CentreId;
use base::Contract;
use base::ModelName;
use base::Time;
use route::Candidate;

/// How often the dispatcher looks at its queue.
const DECIDE_EVERY: Duration = Duration::from_millis(5);

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
    dispatcher.configure(&contracts, clock::now());
}

/// Decides on waiting requests, for as long as the node runs.
pub async fn dispatch_on(node: Rc<Node>) {
    let mut refreshed = Time::ZERO;
    loop {
        compio::time::sleep(DECIDE_EVERY).await;
        let now = clock::now();
        if REFRESH_EVERY <= now.since(refreshed) {
            refreshed = now;
            refresh(&node, now);
        }
        decide(&node);
    }
}

/// Hands decisions to the requests that wait for them.
pub(super) fn decide(node: &Node) {
    let now = clock::now();
    let decided = {
        let mut dispatcher = node.dispatch.dispatcher.borrow_mut();
        if now < dispatcher.next_deadline() {
            return;
        }
        dispatcher.poll(now)
    };
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
        dispatcher.replicas(model, candidates, now);
    }
}

fn candidates(dispatch: &Dispatch, model: &ModelName, here: CentreId, now: Time) -> Vec<Candidate> {
    let routes = dispatch.routes.borrow();
    let loads = dispatch.loads.borrow();
    let routes = routes.routes(model, now);
    let candidate = |replica| {
        let heard = loads.get(&replica)?;
        let link = match heard.centre == here {
            true => Duration::ZERO,
            false => FAR_LINK,
        };
        Some(Candidate {
            replica,
            centre: heard.centre,
            load: heard.row.load(),
            age: now.since(heard.at),
            link,
        })
    };
    routes
        .iter()
        .filter_map(|route| candidate(route.replica))
        .collect()
}
