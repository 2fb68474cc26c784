//! Orders the hosts of the data centre while this node holds its lease, and
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

pub use polls::poll_on;

/// How often the controller and the lease go on in time.
const TICK: Duration = Duration::from_millis(100);

/// How long routes outlive their controller while their hosts confirm them.
const HOLD_LIFE: Duration = Duration::from_secs(8);

/// This node's part in ordering its data centre's hosts.
#[derive(Debug)]
pub struct Control {
    lease: RefCell<Lease>,
    controller: RefCell<Controller>,
    ordering: Cell<Option<Fence>>,
    /// The loads that each entry node was told last.
    told_loads: RefCell<BTreeMap<NodeId, BTreeMap<ReplicaId, CompactLoad>>>,
}

impl Control {
    /// Starts without a lease. What this node granted before its start is not remembered,
    /// so it grants nothing until all of that has ended.
    pub fn open(settings: &Settings, incarnation: Incarnation) -> Self {
        let now = clock::now();
        let cfg = lease::Config::with_granters(settings.local_nodes());
        let node = settings.node.id;
        let lease = Lease::new(cfg, node, incarnation, PersistedState::Lost, wall(), now);
        let cfg = plan::Config {
            hold_limit: HOLD_LIFE,
            ..plan::Config::for_centre(settings.node.centre)
        };
        Self {
            lease: RefCell::new(lease),
            controller: RefCell::new(Controller::new(cfg, now)),
            ordering: Cell::new(None),
            told_loads: RefCell::default(),
        }
    }

    /// Takes a host's report.
    pub fn hear(&self, report: &HostReport) {
        let now = clock::now();
        self.controller.borrow_mut().receive_report(report, now);
        self.lease.borrow_mut().observe_fence(report.fence);
    }

    /// The controller of the data centre, as far as this node knows.
    pub fn controller(&self) -> Option<NodeId> {
        let lease = self.lease.borrow();
        let holder = lease.granter.holder(clock::now());
        holder.map(|holder| holder.node)
    }

    /// What an operator sees.
    pub fn status(&self) -> plan::Status {
        self.controller.borrow().status(clock::now())
    }

    /// Whether an order may be sent now. Asked right before it is, with no wait between.
    fn may_send(&self, order: &Order) -> bool {
        let now = clock::now();
        let holds = self.lease.borrow().candidate.holds(order.fence, now);
        holds && self.controller.borrow().may_send_order(order.id, now)
    }

    /// Whether a majority confirmed the tenure after `since`, which does not rest on this
    /// node's clock having gone on.
    fn is_confirmed_since(&self, fence: Fence, since: Time) -> bool {
        let lease = self.lease.borrow();
        lease.candidate.confirmed_since(fence, since, clock::now())
    }

    /// Asks for a renewal of the lease at the next tick.
    fn renew(&self) {
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

/// The methods that other nodes reach.
pub fn methods(methods: RpcMethods<Node>) -> RpcMethods<Node> {
    polls::methods(lease_link::methods(methods))
}

/// Goes on in time, for as long as the node runs.
pub async fn control_on(node: Rc<Node>) {
    loop {
        compio::time::sleep(TICK).await;
        let now = clock::now();
        let outputs = node.control.lease.borrow_mut().tick(wall(), now);
        lease_link::send(&node, outputs);
        let tenure = node.control.tenure();
        report_tenure(&node, tenure.map(|t| t.fence));
        let demand = demand::demand(&node);
        let orders = {
            let mut controller = node.control.controller.borrow_mut();
            controller.set_demand(demand);
            controller.tick(tenure, clock::now())
        };
        orders::send(&node, orders);
    }
}

/// Gives the lease back, so that another node takes over at once.
pub async fn give_back(node: &Rc<Node>) {
    const MOST: Duration = Duration::from_millis(300);
    let outputs = node.control.lease.borrow_mut().stop();
    lease_link::send(node, outputs);
    if node.control.ordering.get().is_some() {
        compio::time::sleep(MOST).await;
    }
}

fn report_tenure(node: &Node, fence: Option<Fence>) {
    let before = node.control.ordering.replace(fence);
    node.metrics.controller.set(i64::from(fence.is_some()));
    let centre = node.settings.node.centre;
    match (before, fence) {
        (before, Some(fence)) if before != Some(fence) => {
            emit(&Event::ControllerHere { centre, fence });
        }
        (Some(_), None) => emit(&Event::ControllerGone { centre }),
        _ => {}
    }
}

fn wall() -> WallTime {
    WallTime::since_1970(clock::wall_clock())
}
