//! Places requests on replicas: admission, routes, and the outcome of each request.

mod placed_request;
mod refresh;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;

use crate::node::Node;
use crate::problem::Problem;
use crate::rests::RestingUpstream;
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
use plan::Route;
use plan::RouteTable;
use quorum::clock;

pub use placed_request::PlacedRequest;
pub use refresh::run_dispatcher;
pub use refresh::set_contracts;

/// A request that is to be placed on a replica.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The id of the request.
    pub request: RequestId,
    /// The contract it comes under.
    pub contract: Contract,
    /// Estimated tokens of its prompt.
    pub prompt: TokenCount,
    /// The most tokens that it may generate.
    pub max_tokens: TokenCount,
    /// A hash of the start of its body.
    pub prefix: Option<u64>,
    /// When it arrived.
    pub arrived: Time,
}

/// The replica that a request was placed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The replica.
    pub replica: ReplicaId,
    /// The fencing number of the replica's assignment.
    pub fence: Fence,
    /// The address of the engine on the replica's first host.
    pub addr: SocketAddr,
    /// The request's priority in the engine's batch.
    pub priority: Priority,
    /// The model that serves the request, which may differ from the requested one.
    pub model: ModelName,
}

/// The load of a replica and when it was reported.
#[derive(Clone, Debug)]
pub struct ReceivedLoad {
    /// The load.
    pub load: Load,
    /// When it was reported, by this node's clock.
    pub reported_at: Time,
    /// The replica's data centre.
    pub centre: CentreId,
}

/// The admission state, routes and loads by which a node places requests.
#[derive(Debug)]
pub struct Dispatch {
    dispatcher: RefCell<Dispatcher>,
    /// The routes that controllers granted to this node.
    pub routes: RefCell<RouteTable>,
    /// The loads of replicas, as their controllers reported them.
    pub loads: RefCell<BTreeMap<ReplicaId, ReceivedLoad>>,
    pending_decisions: RefCell<BTreeMap<RequestId, Sender<Decision>>>,
    controllers: RefCell<BTreeMap<CentreId, NodeId>>,
}

impl Placement {
    /// The replica as an upstream that may rest.
    pub fn resting_upstream(&self) -> RestingUpstream {
        RestingUpstream(self.addr)
    }
}

impl Dispatch {
    /// Starts without routes and contracts.
    pub fn open(cfg: admit::Config) -> Self {
        let routes = RouteTable::new(cfg.node, cfg.incarnation);
        let seed = cfg.incarnation.0;
        Self {
            dispatcher: RefCell::new(Dispatcher::new(cfg, seed)),
            routes: RefCell::new(routes),
            loads: RefCell::default(),
            pending_decisions: RefCell::default(),
            controllers: RefCell::default(),
        }
    }

    /// How much of each contract is used at this node.
    pub fn demand_report(&self, now: Time) -> DemandReport {
        self.dispatcher.borrow_mut().demand_report(now)
    }

    /// Applies the demand reports of other nodes, and the set of those that are live.
    pub fn apply_peer_reports(&self, reports: &[DemandReport], live: &BTreeSet<NodeId>, now: Time) {
        self.dispatcher
            .borrow_mut()
            .apply_peer_reports(reports, live, now);
    }

    /// The replicas of a model that routes lead to, as upstreams that may rest.
    pub fn replicas_of(&self, model: &ModelName) -> Vec<RestingUpstream> {
        let routes = self.routes.borrow();
        let routes = routes.valid_routes(model, clock::now());
        routes.into_iter().map(resting_replica).collect()
    }

    /// Whether a request may be sent to its replica now.
    pub fn may_send(&self, placement: &Placement) -> bool {
        let routes = self.routes.borrow();
        routes.allows_route(placement.replica, placement.fence, clock::now())
    }

    /// Records which node controls a data centre.
    pub fn set_controller(&self, centre: CentreId, node: Option<NodeId>) {
        let mut controllers = self.controllers.borrow_mut();
        match node {
            Some(node) => controllers.insert(centre, node),
            None => controllers.remove(&centre),
        };
    }

    /// The controllers of all data centres whose controller is known.
    pub fn controllers(&self) -> BTreeMap<CentreId, NodeId> {
        self.controllers.borrow().clone()
    }

    /// Records a host's report, which keeps its route valid while there is no controller.
    pub fn record_host_report(&self, report: &HostReport) {
        self.routes
            .borrow_mut()
            .receive_report(report, clock::now());
    }

    /// Stops placing requests on a host that is leaving.
    pub fn mark_host_leaving(&self, host: HostId) {
        self.routes.borrow_mut().mark_leaving(host, clock::now());
    }

    /// The route to a replica, if it is valid now.
    fn placement(
        &self,
        replica: ReplicaId,
        model: &ModelName,
        priority: Priority,
    ) -> Option<Placement> {
        let routes = self.routes.borrow();
        let valid_routes = routes.valid_routes(model, clock::now());
        let route = valid_routes
            .into_iter()
            .find(|route| route.replica == replica)?;
        Some(Placement {
            replica,
            fence: route.fence,
            addr: route.addr,
            priority,
            model: model.clone(),
        })
    }
}

/// The replica that a route leads to, as an upstream that may rest.
fn resting_replica(route: &Route) -> RestingUpstream {
    RestingUpstream(route.addr)
}

/// Places a request on a replica, waits until one has room, or refuses it.
pub async fn place_request(
    node: &Rc<Node>,
    request: &PlacementRequest,
) -> Result<PlacedRequest, Problem> {
    let arrival = Arrival {
        request: request.request,
        contract: request.contract.name.clone(),
        prompt: request.prompt,
        max_tokens: request.max_tokens,
        prefix: request.prefix,
        now: request.arrived,
    };
    let decision = node
        .dispatch
        .dispatcher
        .borrow_mut()
        .handle_arrival(arrival);
    PlacedRequest::resolve(node, request, decision).await
}
