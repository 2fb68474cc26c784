//! A host's place in a replica: orders, loading, and watching the other hosts.

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

/// How often the first host looks at the others.
const WATCH_EVERY: Duration = Duration::from_millis(100);

/// How long another host may take to answer.
const WATCH_WITHIN: Duration = Duration::from_millis(300);

/// One host's part in forming replicas.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) host: HostId,
    pub(crate) fencing: Fencing,
    pub(crate) fence: Fence,
    pub(crate) duty: Duty,
    /// False while another host of the replica is missing or has another duty.
    pub(crate) whole: bool,
    /// Time to load a model.
    pub(crate) load_time: Duration,
}

impl Group {
    /// Takes an order, and starts what it asks for.
    pub(crate) fn order(
        shared: &Rc<RefCell<Self>>,
        client: &RpcClient,
        order: EngineOrder,
    ) -> EngineOrderReply {
        let mut group = shared.borrow_mut();
        let taken = group.judge(&order);
        if taken == OrderAcceptance::Accepted {
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
                    group.form(shared, client, assignment, hosts);
                }
            }
        }
        EngineOrderReply {
            taken,
            duty: group.duty.clone(),
            fence: group.fence,
        }
    }

    fn judge(&self, order: &EngineOrder) -> OrderAcceptance {
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

    fn form(
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
        self.whole = false;
        let shared = Rc::clone(shared);
        let client = client.clone();
        let load_time = self.load_time;
        compio::runtime::spawn(async move {
            compio::time::sleep(load_time).await;
            if !shared.borrow().is_assigned(&assignment) {
                return;
            }
            shared.borrow_mut().duty = Duty::Ready(assignment.clone());
            watch(shared, client, assignment, hosts).await;
        })
        .detach();
    }

    /// Takes note of whether the other hosts of an assignment were all there.
    fn watched(&mut self, assignment: &Assignment, whole: bool) {
        if self.is_assigned(assignment) {
            self.whole = whole;
        }
    }

    pub(crate) fn is_assigned(&self, assignment: &Assignment) -> bool {
        self.duty.assignment() == Some(assignment)
    }
}

/// Looks at the other hosts for as long as this host keeps its assignment.
async fn watch(
    shared: Rc<RefCell<Group>>,
    client: RpcClient,
    assignment: Assignment,
    hosts: Vec<GroupHost>,
) {
    while shared.borrow().is_assigned(&assignment) {
        let mut whole = true;
        for other in &hosts {
            if other.host != shared.borrow().host {
                whole &= is_ready(&client, other, &assignment).await;
            }
        }
        shared.borrow_mut().watched(&assignment, whole);
        compio::time::sleep(WATCH_EVERY).await;
    }
}

async fn is_ready(client: &RpcClient, other: &GroupHost, assignment: &Assignment) -> bool {
    let ask = AskDuty { host: other.host };
    match client.call(other.addr, &ask, WATCH_WITHIN).await {
        Ok(duty) => duty == Duty::Ready(assignment.clone()),
        Err(_) => false,
    }
}
