//! Finds a replica for a request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;

use base::Assignment;
use base::Contract;
use base::Duty;
use base::Fence;
use base::ModelName;
use base::Priority;
use base::ReplicaId;
use base::RequestId;
use base::Time;
use base::TokenCount;

use crate::entry::Break;
use crate::node::Node;
use crate::problem::Problem;

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct Wish {
    /// The request.
    pub request: RequestId,
    /// The contract it comes under.
    pub contract: Contract,
    /// Tokens of its prompt, about.
    pub prompt: TokenCount,
    /// Tokens it generates at most.
    pub max_tokens: TokenCount,
    /// Stands for the start of its prompt.
    pub prefix: Option<u64>,
    /// When it arrived.
    pub arrived: Time,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placed {
    /// The request.
    pub request: RequestId,
    /// The replica.
    pub replica: ReplicaId,
    /// The fencing number of its assignment.
    pub fence: Fence,
    /// Its first host's engine.
    pub addr: SocketAddr,
    /// Urgency in the batch.
    pub priority: Priority,
    /// The model, which may be another one than was asked for.
    pub model: ModelName,
}

/// Attempts of one request at most.
const MOST_ATTEMPTS: u32 = 2;

/// A placed request, counted at its replica until it is dropped.
#[derive(Debug)]
pub struct Work {
    node: Rc<Node>,
    placed: Placed,
}

impl Work {
    /// Where it was placed.
    pub fn placed(&self) -> &Placed {
        &self.placed
    }

    /// Its first token came.
    pub fn first_token(&self) {}

    /// A further token came.
    pub fn token(&self) {}

    /// Its answer is whole.
    pub fn finished(&self) {}

    /// It broke off. True if it may be tried again.
    pub fn failed(&self, error: &Break) -> bool {
        !error.may_have_run() && self.placed.request.0 < u64::from(MOST_ATTEMPTS)
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        let mut flying = self.node.flying.borrow_mut();
        let left = flying
            .get(&self.placed.replica)
            .map_or(0, |n| n.saturating_sub(1));
        flying.insert(self.placed.replica, left);
    }
}

/// Finds a replica, or refuses.
pub async fn place(node: &Rc<Node>, wish: &Wish) -> Result<Work, Problem> {
    let routes = routes(node, &wish.contract.model);
    let flying = |r: &ReplicaId| node.flying.borrow().get(r).copied().unwrap_or(0);
    let chosen = routes
        .into_iter()
        .min_by_key(|route| flying(&route.replica));
    let Some(mut placed) = chosen else {
        let what = format_args!("no replica serves {}", wish.contract.model);
        let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-replica", what);
        return Err(problem.retry_after(Duration::from_secs(1)));
    };
    placed.request = wish.request;
    placed.priority = wish.contract.priority;
    *node.flying.borrow_mut().entry(placed.replica).or_default() += 1;
    let node = Rc::clone(node);
    Ok(Work { node, placed })
}

/// Whether a replica may still get requests.
pub fn is_routed(node: &Node, placed: &Placed) -> bool {
    let routes = routes(node, &placed.model);
    routes
        .iter()
        .any(|r| r.replica == placed.replica && r.fence == placed.fence)
}

/// The replicas of a model all of whose hosts say that they are ready.
fn routes(node: &Node, model: &ModelName) -> Vec<Placed> {
    let upstreams = node.upstreams.borrow();
    let is_ready = |assignment: &Assignment| {
        assignment.hosts.iter().all(|host| {
            let heard = upstreams.host(*host).map(|h| &h.report);
            heard.is_some_and(|r| !r.leaving && r.duty == Duty::Ready(assignment.clone()))
        })
    };
    let mut routes = Vec::new();
    for report in upstreams.hosts() {
        let Duty::Ready(assignment) = &report.duty else {
            continue;
        };
        let first = assignment.hosts.first() == Some(&report.host);
        if first && assignment.model == *model && is_ready(assignment) {
            routes.push(Placed {
                request: RequestId(0),
                replica: assignment.replica,
                fence: assignment.fence,
                addr: report.addr,
                priority: Priority::default(),
                model: model.clone(),
            });
        }
    }
    routes
}
