//! Finds a replica for a request: admission, routes, and what became of it.

mod refresh;
mod work;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;

use crate::node::Node;
use crate::problem::Problem;
use admit::Arrival;
use admit::Decision;
use admit::DemandReport;
use admit::Dispatcher;
use base::CentreId;
use base::Contract;
use base::Fence;
use base::HostId;
use base::HostReport;
use base::Load;
use base::ModelName;
use base::NodeId;
use base::Priority;
use base::ReplicaId;
use base::RequestId;
use base::Time;
use base::TokenCount;
use plan::RouteTable;
use quorum::clock;

pub use refresh::configure;
pub use refresh::dispatch_on;
pub use work::Work;

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

/// A load and when it was reported, on this node's clock.
#[derive(Clone, Debug)]
pub struct HeardLoad {
    /// The load.
    pub load: Load,
    /// When it was reported.
    pub at: Time,
    /// The replica's data centre.
    pub centre: CentreId,
}

/// What the node knows for placing requests.
#[derive(Debug)]
pub struct Dispatch {
    dispatcher: RefCell<Dispatcher>,
    /// The routes granted to this node.
    pub routes: RefCell<RouteTable>,
    /// Loads of replicas, as their controllers told them.
    pub loads: RefCell<BTreeMap<ReplicaId, HeardLoad>>,
    waiting: RefCell<BTreeMap<RequestId, Sender<Decision>>>,
    controllers: RefCell<BTreeMap<CentreId, NodeId>>,
}

impl Dispatch {
    /// Knows no route and no contract yet.
    pub fn open(cfg: admit::Config) -> Self {
        let routes = RouteTable::new(cfg.node, cfg.incarnation);
        let seed = cfg.incarnation.0;
        Self {
            dispatcher: RefCell::new(Dispatcher::new(cfg, seed)),
            routes: RefCell::new(routes),
            loads: RefCell::default(),
            waiting: RefCell::default(),
            controllers: RefCell::default(),
        }
    }

    /// How much of each contract is used here.
    pub fn demand(&self, now: Time) -> DemandReport {
        self.dispatcher.borrow_mut().demand_report(now)
    }

    /// Takes what other nodes use, and which of them are there.
    pub fn peers(&self, reports: &[DemandReport], live: &BTreeSet<NodeId>, now: Time) {
        self.dispatcher
            .borrow_mut()
            .apply_peer_reports(reports, live, now);
    }

    /// Whether a request may be sent to a replica now.
    pub fn allows(&self, placed: &Placed) -> bool {
        let routes = self.routes.borrow();
        routes.allows_route(placed.replica, placed.fence, clock::now())
    }

    /// Notes which node orders the hosts of a data centre.
    pub fn set_controller(&self, centre: CentreId, node: Option<NodeId>) {
        let mut controllers = self.controllers.borrow_mut();
        match node {
            Some(node) => controllers.insert(centre, node),
            None => controllers.remove(&centre),
        };
    }

    /// The controllers of all data centres that have one in sight.
    pub fn controllers(&self) -> BTreeMap<CentreId, NodeId> {
        self.controllers.borrow().clone()
    }

    /// Takes a host's report, which keeps its route while there is no controller.
    pub fn hear(&self, report: &HostReport) {
        self.routes
            .borrow_mut()
            .receive_report(report, clock::now());
    }

    /// Keeps new work away from a host that is leaving.
    pub fn leaving(&self, host: HostId) {
        self.routes.borrow_mut().mark_leaving(host, clock::now());
    }

    /// The route to a replica, if it is valid now.
    fn placed(&self, replica: ReplicaId, model: &ModelName, priority: Priority) -> Option<Placed> {
        let routes = self.routes.borrow();
        let found = routes.valid_routes(model, clock::now());
        let route = found.into_iter().find(|route| route.replica == replica)?;
        Some(Placed {
            replica,
            fence: route.fence,
            addr: route.addr,
            priority,
            model: model.clone(),
        })
    }
}

/// Finds a replica, waits for one, or refuses.
pub async fn place(node: &Rc<Node>, wish: &Wish) -> Result<Work, Problem> {
    let arrival = Arrival {
        request: wish.request,
        contract: wish.contract.name.clone(),
        prompt: wish.prompt,
        max_tokens: wish.max_tokens,
        prefix: wish.prefix,
        now: wish.arrived,
    };
    let decision = node
        .dispatch
        .dispatcher
        .borrow_mut()
        .handle_arrival(arrival);
    Work::settle(node, wish.request, decision).await
}
