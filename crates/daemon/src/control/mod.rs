//! Runs the controller of the data centre's hosts while this node holds the lease, and
//! polls the controllers of all data centres for routes.

mod demand;
mod lease_link;
mod orders;
mod polls;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use base::Fence;
use base::HostReport;
use base::Incarnation;
use base::NodeId;
use base::ReplicaId;
use base::Time;
use lease::Lease;
use lease::PersistedState;
use lease::WallTime;
use net::RpcMethods;
use plan::Controller;
use plan::Order;
use plan::Tenure;
use quorum::clock;
use settings::Settings;
use wire::CompactLoad;

pub use polls::poll_routes;

/// Time between two ticks of the lease and the controller.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How long routes stay valid without a controller while their hosts confirm them.
const ROUTE_HOLD_TIME: Duration = Duration::from_secs(8);

/// The lease and the controller of the data centre, as this node has them.
#[derive(Debug)]
pub struct Control {
    lease: RefCell<Lease>,
    controller: RefCell<Controller>,
    active_fence: Cell<Option<Fence>>,
    /// The loads that were sent last to each entry node.
    sent_loads: RefCell<BTreeMap<NodeId, BTreeMap<ReplicaId, CompactLoad>>>,
}

impl Control {
    /// Starts without a lease. The grants of earlier incarnations are not stored, so this
    /// node grants nothing until all of them must have expired.
    pub fn open(settings: &Settings, incarnation: Incarnation) -> Self {
        let now = clock::now();
        let cfg = lease::Config::with_granters(settings.local_nodes());
        let node = settings.node.id;
        let lease = Lease::new(
            cfg,
            node,
            incarnation,
            PersistedState::Lost,
            wall_time(),
            now,
        );
        let cfg = plan::Config {
            hold_limit: ROUTE_HOLD_TIME,
            ..plan::Config::for_centre(settings.node.centre)
        };
        Self {
            lease: RefCell::new(lease),
            controller: RefCell::new(Controller::new(cfg, now)),
            active_fence: Cell::new(None),
            sent_loads: RefCell::default(),
        }
    }

    /// Passes a host's report to the controller and its fence to the lease.
    pub fn record_host_report(&self, report: &HostReport) {
        let now = clock::now();
        self.controller.borrow_mut().receive_report(report, now);
        self.lease.borrow_mut().observe_fence(report.fence);
    }

    /// The node that controls the data centre, as far as this node knows.
    pub fn controller(&self) -> Option<NodeId> {
        let lease = self.lease.borrow();
        let holder = lease.granter.holder(clock::now());
        holder.map(|holder| holder.node)
    }

    /// The controller's status, for operators.
    pub fn status(&self) -> plan::Status {
        self.controller.borrow().status(clock::now())
    }

    /// Whether an order may be sent now. Checked right before sending, with no await between.
    fn may_send(&self, order: &Order) -> bool {
        let now = clock::now();
        let holds = self.lease.borrow().candidate.holds(order.fence, now);
        holds && self.controller.borrow().may_send_order(order.id, now)
    }

    /// Whether a majority confirmed the tenure after `since`. This holds even if this node's
    /// clock was stopped meanwhile.
    fn is_confirmed_since(&self, fence: Fence, since: Time) -> bool {
        let lease = self.lease.borrow();
        lease.candidate.confirmed_since(fence, since, clock::now())
    }

    /// Requests a renewal of the lease at the next tick.
    fn request_renewal(&self) {
        self.lease.borrow_mut().candidate.renew_now(clock::now());
    }

    fn tenure(&self) -> Option<Tenure> {
        let tenure = self.lease.borrow().candidate.tenure(clock::now())?;
        Some(Tenure {
            fence: tenure.fence,
            until: tenure.until,
        })
    }
}

/// The methods that other nodes call.
pub fn methods(methods: RpcMethods<Node>) -> RpcMethods<Node> {
    polls::methods(lease_link::methods(methods))
}

/// Runs the lease and the controller, for as long as the node runs.
pub async fn run_controller(node: Rc<Node>) {
    loop {
        compio::time::sleep(TICK_INTERVAL).await;
        let now = clock::now();
        let outputs = node.control.lease.borrow_mut().tick(wall_time(), now);
        lease_link::send(&node, outputs);
        let tenure = node.control.tenure();
        record_tenure(&node, tenure.map(|t| t.fence));
        let demand = demand::demand(&node);
        let orders = {
            let mut controller = node.control.controller.borrow_mut();
            controller.set_demand(demand);
            controller.tick(tenure, clock::now())
        };
        orders::send(&node, orders);
    }
}

/// Releases the lease, so that another node takes over at once.
pub async fn release_lease(node: &Rc<Node>) {
    const RELEASE_DELIVERY_TIME: Duration = Duration::from_millis(300);
    let outputs = node.control.lease.borrow_mut().stop();
    lease_link::send(node, outputs);
    if node.control.active_fence.get().is_some() {
        compio::time::sleep(RELEASE_DELIVERY_TIME).await;
    }
}

fn record_tenure(node: &Node, fence: Option<Fence>) {
    let previous = node.control.active_fence.replace(fence);
    node.metrics.controller.set(i64::from(fence.is_some()));
    let centre = node.settings.node.centre;
    match (previous, fence) {
        (previous, Some(fence)) if previous != Some(fence) => {
            emit(&Event::ControllerStarted { centre, fence });
        }
        (Some(_), None) => emit(&Event::ControllerStopped { centre }),
        _ => {}
    }
}

fn wall_time() -> WallTime {
    WallTime::since_1970(clock::wall_clock())
}
