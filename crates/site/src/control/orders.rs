//! Carries out orders to the hosts of the engines.

use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;

use crate::control::ControlHost;
use crate::control::probe;
use crate::events::Event;
use crate::events::emit;
use crate::order_request::order_answer;
use crate::order_request::order_request;
use form::Order;
use form::Outcome;
use net::Connection;
use net::RequestError;
use quorum::clock;

/// Orders that are carried out at once. On a small control host, hundreds at once would delay
/// each other until none is answered in time.
pub(crate) const MAX_PARALLEL_ORDERS: usize = 48;

/// How long connecting to a host may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a host may take to answer an order.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Carries out an order in a task of its own.
pub(crate) fn spawn_order(control: &Rc<ControlHost>, order: Order) {
    let control = Rc::clone(control);
    compio::runtime::spawn(async move {
        let permit = control.order_permits.acquire().await;
        let started_at = clock::now();
        let outcome = carry_out(&control, &order).await;
        drop(permit);
        let now = clock::now();
        emit(&Event::OrderSent {
            host: &order.host,
            order: order.action.to_string(),
            outcome: outcome.to_string(),
            ms: now.since(started_at).as_millis(),
        });
        let mut controller = control.controller.borrow_mut();
        controller.record_outcome(order.id, outcome, now);
        drop(controller);
        control.controller_changed.notify_waiters();
    })
    .detach();
}

async fn carry_out(control: &ControlHost, order: &Order) -> Outcome {
    if !control.controller.borrow().is_outstanding(order.id) {
        return Outcome::NotSent;
    }
    let id = (order.host.clone(), order.incarnation);
    let mut order = order.clone();
    if order.begun_orders.is_none() {
        // Without the count, the host could not reject an order that arrives late.
        let Some(status) = probe::fetch_status(control, &id, order.addr).await else {
            return Outcome::NotSent;
        };
        let mut controller = control.controller.borrow_mut();
        let Some(confirmed) = controller.confirm_order(&order, &status) else {
            log::debug!(
                "{}: {} rests on what {status:?} contradicts",
                id.0,
                order.action
            );
            return Outcome::NotSent;
        };
        order = confirmed;
    }
    let order = &order;
    let Ok(connection) = control.pool.connect(order.addr, CONNECT_TIMEOUT).await else {
        return Outcome::NotSent;
    };
    match send_order(control, order, connection).await {
        Ok(outcome) => outcome,
        Err(RequestError::NotSent) => Outcome::NotSent,
        Err(RequestError::Lost | RequestError::Unreadable) => Outcome::Unknown,
    }
}

async fn send_order(
    control: &ControlHost,
    order: &Order,
    mut connection: Connection,
) -> Result<Outcome, RequestError> {
    // Checked after the last await before the order is sent: if the process was suspended, it may
    // no longer lead, or lead in a later term.
    let is_outstanding = control.controller.borrow().is_outstanding(order.id);
    if !control.is_leader() || !is_outstanding {
        return Ok(Outcome::NotSent);
    }
    let platform = control.platform.as_ref();
    let req = order_request(platform, &order.host, &order.action, order.begun_orders);
    let Ok(sent) = timeout(ANSWER_TIMEOUT, connection.request(req)).await else {
        return Ok(Outcome::Unknown);
    };
    Ok(order_answer(platform, &sent?).outcome())
}
