//! Sends the controller's orders to the engines' hosts.

use std::rc::Rc;
use std::time::Duration;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use base::Fencing;
use base::HostId;
use net::RpcError;
use plan::Action;
use plan::Order;
use plan::OrderOutcome;
use quorum::clock;
use wire::engine::EngineAction;
use wire::engine::EngineOrder;
use wire::engine::GroupHost;
use wire::engine::OrderAcceptance;

/// How long a host may take to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between two checks whether the tenure is confirmed.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Sends each order in a task of its own and reports its outcome to the controller.
pub fn send(node: &Rc<Node>, orders: Vec<Order>) {
    for order in orders {
        let node = Rc::clone(node);
        compio::runtime::spawn(async move {
            let outcome = send_order(&node, &order).await;
            let mut controller = node.control.controller.borrow_mut();
            controller.record_outcome(order.id, outcome, clock::now());
        })
        .detach();
    }
}

async fn send_order(node: &Node, order: &Order) -> OrderOutcome {
    let Some(engine_order) = engine_order(node, order) else {
        return OrderOutcome::Refused;
    };
    let (replica, host) = (order.replica, order.host);
    let what = match order.action {
        Action::Form { .. } => "form",
        Action::Release => "leave",
    };
    if ignores_fences(node, host) && !wait_for_confirmation(node, order).await {
        return OrderOutcome::Refused;
    }
    let may_send = || {
        let may_send = node.control.may_send(order);
        if may_send {
            emit(&Event::OrderSent {
                replica,
                host,
                what,
            });
        }
        may_send
    };
    match node
        .engines
        .call_if(order.addr, &engine_order, ORDER_TIMEOUT, may_send)
        .await
    {
        Ok(state) if state.taken == OrderAcceptance::Accepted => OrderOutcome::Done,
        Ok(_) | Err(RpcError::Withheld) => OrderOutcome::Refused,
        Err(e) => {
            let error = e.to_string();
            emit(&Event::OrderFailed {
                replica,
                host,
                error,
            });
            match e {
                RpcError::Refused { .. } | RpcError::Withheld => OrderOutcome::Refused,
                RpcError::Unreachable { .. }
                | RpcError::Timeout { .. }
                | RpcError::Unreadable { .. } => OrderOutcome::Unknown,
            }
        }
    }
}

fn ignores_fences(node: &Node, host: HostId) -> bool {
    let upstreams = node.upstreams.borrow();
    let fencing = upstreams.host(host).map(|received| received.report.fencing);
    fencing.unwrap_or_default() == Fencing::Ignored
}

/// Waits until a majority confirms the tenure anew. An engine that ignores fences does
/// not reject an outdated order, so this node's own clock is not enough.
async fn wait_for_confirmation(node: &Node, order: &Order) -> bool {
    let since = clock::now();
    node.control.request_renewal();
    while clock::now().since(since) < ORDER_TIMEOUT {
        if node.control.is_confirmed_since(order.fence, since) {
            return true;
        }
        compio::time::sleep(CONFIRMATION_CHECK_INTERVAL).await;
    }
    false
}

/// The order in the engine's format. None if the address of a host is no longer known.
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
