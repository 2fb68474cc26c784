//! Sends the controller's orders to the engines' hosts.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use net::RpcError;
use plan::Action;
use plan::Order;
use plan::OrderOutcome;
use wire::engine::EngineAction;
use wire::engine::EngineOrder;
use wire::engine::GroupHost;
use wire::engine::Taken;

/// How long a host may take to answer an order.
const WITHIN: Duration = Duration::from_millis(1_000);

/// Sends each order on its own and tells the controller what became of it.
pub fn send(node: &Rc<Node>, orders: Vec<Order>) {
    for order in orders {
        let node = Rc::clone(node);
        compio::runtime::spawn(async move {
            let outcome = carry_out(&node, &order).await;
            let mut controller = node.control.controller.borrow_mut();
            controller.outcome(order.id, outcome, clock::now());
        })
        .detach();
    }
}

async fn carry_out(node: &Node, order: &Order) -> OrderOutcome {
    let Some(engine_order) = engine_order(node, order) else {
        return OrderOutcome::Refused;
    };
    let (replica, host) = (order.replica, order.host);
    let what = match order.action {
        Action::Form { .. } => "form",
        Action::Release => "leave",
    };
    // The last look at the lease, with no wait between it and the send.
    if !node
        .control
        .controller
        .borrow()
        .may_send(order.id, clock::now())
    {
        return OrderOutcome::Refused;
    }
    emit(&Event::OrderSent {
        replica,
        host,
        what,
    });
    match node.engines.call(order.addr, &engine_order, WITHIN).await {
        Ok(state) if state.taken == Taken::Accepted => OrderOutcome::Done,
        Ok(_) => OrderOutcome::Refused,
        Err(e) => {
            let error = e.to_string();
            emit(&Event::OrderFailed {
                replica,
                host,
                error,
            });
            match e {
                RpcError::Refused { .. } => OrderOutcome::Refused,
                RpcError::Unreachable { .. }
                | RpcError::Timeout { .. }
                | RpcError::Unreadable { .. } => OrderOutcome::Unknown,
            }
        }
    }
}

/// The order as the engine reads it, or nothing if a host's address is not known any more.
fn engine_order(node: &Node, order: &Order) -> Option<EngineOrder> {
    let upstreams = node.upstreams.borrow();
    let group_host = |host| {
        let addr = upstreams.host(host)?.report.addr;
        Some(GroupHost { host, addr })
    };
    let action = match &order.action {
        Action::Release => EngineAction::Release,
        Action::Form { model, hosts } => {
            let hosts: Option<Vec<_>> = hosts.iter().map(|host| group_host(*host)).collect();
            EngineAction::Form {
                model: model.clone(),
                hosts: hosts?,
            }
        }
    };
    Some(EngineOrder {
        host: order.host,
        replica: order.replica,
        fence: order.fence,
        action,
    })
}
