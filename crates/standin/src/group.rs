//! A host's part in a replica: orders, loading, and watching the other hosts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use base::Assignment;
use base::Duty;
use base::Fence;
use base::Fencing;
use base::HostId;
use net::RpcClient;
use wire::engine::AskDuty;
use wire::engine::EngineAction;
use wire::engine::EngineOrder;
use wire::engine::EngineOrderReply;
use wire::engine::GroupHost;
use wire::engine::OrderAcceptance;

/// How often a host asks the others for their duty.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// How long another host may take to answer with its duty.
const DUTY_TIMEOUT: Duration = Duration::from_millis(300);

/// One host's part in a group of hosts that form a replica.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) host: HostId,
    pub(crate) fencing: Fencing,
    /// The highest fencing number of the orders accepted so far.
    pub(crate) fence: Fence,
    pub(crate) duty: Duty,
    /// Whether all other hosts of the replica answer and are ready for it.
    pub(crate) is_complete: bool,
    /// The simulated time to load a model.
    pub(crate) load_time: Duration,
}

impl Group {
    /// Checks an order and, if it is accepted, starts what it asks for.
    pub(crate) fn handle_order(
        shared: &Rc<RefCell<Self>>,
        client: &RpcClient,
        order: EngineOrder,
    ) -> EngineOrderReply {
        let mut group = shared.borrow_mut();
        let acceptance = group.check_order(&order);
        if acceptance == OrderAcceptance::Accepted {
            group.fence = group.fence.max(order.fence);
            match order.action {
                EngineAction::Release => group.duty = Duty::Idle,
                EngineAction::Form { model, hosts } => {
                    let assignment = Assignment {
                        replica: order.replica,
                        fence: order.fence,
                        model,
                        hosts: hosts.iter().map(|h| h.host).collect(),
                    };
                    group.form_replica(shared, client, assignment, hosts);
                }
            }
        }
        EngineOrderReply {
            taken: acceptance,
            duty: group.duty.clone(),
            fence: group.fence,
        }
    }

    fn check_order(&self, order: &EngineOrder) -> OrderAcceptance {
        if order.host != self.host {
            return OrderAcceptance::NotMine;
        }
        if self.fencing == Fencing::Checked && order.fence < self.fence {
            return OrderAcceptance::OldFence;
        }
        match (&order.action, self.duty.assignment()) {
            (EngineAction::Release, Some(a)) if a.replica != order.replica => {
                OrderAcceptance::NotMine
            }
            _ => OrderAcceptance::Accepted,
        }
    }

    fn form_replica(
        &mut self,
        shared: &Rc<RefCell<Self>>,
        client: &RpcClient,
        assignment: Assignment,
        hosts: Vec<GroupHost>,
    ) {
        if self.duty.assignment() == Some(&assignment) {
            return;
        }
        self.duty = Duty::Loading(assignment.clone());
        self.is_complete = false;
        let shared = Rc::clone(shared);
        let client = client.clone();
        let load_time = self.load_time;
        compio::runtime::spawn(async move {
            compio::time::sleep(load_time).await;
            if !shared.borrow().is_assigned(&assignment) {
                return;
            }
            shared.borrow_mut().duty = Duty::Ready(assignment.clone());
            watch_hosts(shared, client, assignment, hosts).await;
        })
        .detach();
    }

    /// Records whether all other hosts of an assignment are ready for it.
    fn set_complete(&mut self, assignment: &Assignment, is_complete: bool) {
        if self.is_assigned(assignment) {
            self.is_complete = is_complete;
        }
    }

    pub(crate) fn is_assigned(&self, assignment: &Assignment) -> bool {
        self.duty.assignment() == Some(assignment)
    }
}

/// Asks the other hosts for their duty, for as long as this host keeps its assignment.
async fn watch_hosts(
    shared: Rc<RefCell<Group>>,
    client: RpcClient,
    assignment: Assignment,
    hosts: Vec<GroupHost>,
) {
    while shared.borrow().is_assigned(&assignment) {
        let mut is_complete = true;
        for other in &hosts {
            if other.host != shared.borrow().host {
                is_complete &= is_ready(&client, other, &assignment).await;
            }
        }
        shared.borrow_mut().set_complete(&assignment, is_complete);
        compio::time::sleep(WATCH_INTERVAL).await;
    }
}

async fn is_ready(client: &RpcClient, other: &GroupHost, assignment: &Assignment) -> bool {
    let ask = AskDuty { host: other.host };
    match client.call(other.addr, &ask, DUTY_TIMEOUT).await {
        Ok(duty) => duty == Duty::Ready(assignment.clone()),
        Err(_) => false,
    }
}
