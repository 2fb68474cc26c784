//! Carries orders to the engines' hosts.

use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;
use http::StatusCode;

use crate::control::Control;
use crate::control::probe;
use crate::events::Event;
use crate::events::emit;
use form::Order;
use form::Outcome;
use net::Connection;
use net::RequestError;
use net::read_body;
use quorum::clock;

/// Orders that are under way at once. Hundreds at once would all wait for each other on a
/// small control host until none is answered in time.
pub(crate) const AT_ONCE: usize = 48;

/// How long a connection to a host may take.
const CONNECT: Duration = Duration::from_millis(400);

/// How long a host may take to answer an order.
const ANSWER: Duration = Duration::from_millis(1_000);

/// The largest answer to an order in bytes.
const ANSWER_BYTES: usize = 64 * 1024;

/// Carries an order out beside everything else.
pub(crate) fn spawn(control: &Rc<Control>, order: Order) {
    let control = Rc::clone(control);
    compio::runtime::spawn(async move {
        let place = control.ordering.enter().await;
        let began = clock::now();
        let outcome = carry_out(&control, &order).await;
        drop(place);
        let now = clock::now();
        emit(&Event::OrderSent {
            host: &order.host,
            order: order.action.to_string(),
            outcome: outcome.to_string(),
            ms: now.since(began).as_millis(),
        });
        let mut controller = control.controller.borrow_mut();
        controller.record_outcome(order.id, outcome, now);
        drop(controller);
        control.due.ring();
    })
    .detach();
}

async fn carry_out(control: &Control, order: &Order) -> Outcome {
    if !control.controller.borrow().is_outstanding(order.id) {
        return Outcome::NotSent;
    }
    let id = (order.host.clone(), order.incarnation);
    let mut order = order.clone();
    if order.begun_orders.is_none() {
        // Without the count a late order could not be told from one in time.
        let Some(begun) = probe::begun(control, &id, order.addr).await else {
            return Outcome::NotSent;
        };
        order.begun_orders = Some(begun);
        let mut controller = control.controller.borrow_mut();
        controller.record_begun_orders(&order.host, order.incarnation, begun);
    }
    let order = &order;
    if let Some(kept) = control.pool.take(&id) {
        match send(control, order, kept).await {
            Err(RequestError::NotSent) => {}
            Err(RequestError::Lost) => return Outcome::Unknown,
            Ok(outcome) => return outcome,
        }
    }
    let Ok(fresh) = control.pool.open(order.addr, CONNECT).await else {
        return Outcome::NotSent;
    };
    match send(control, order, fresh).await {
        Ok(outcome) => outcome,
        Err(RequestError::NotSent) => Outcome::NotSent,
        Err(RequestError::Lost) => Outcome::Unknown,
    }
}

async fn send(
    control: &Control,
    order: &Order,
    mut connection: Connection,
) -> Result<Outcome, RequestError> {
    // Checked after the last wait: a process that was frozen may lead no more.
    if !control.leads() {
        return Ok(Outcome::NotSent);
    }
    let req = control.platform.order(&order.action, order.begun_orders);
    let Ok(sent) = timeout(ANSWER, connection.request(req)).await else {
        return Ok(Outcome::Unknown);
    };
    let response = sent?;
    let status = response.status();
    let id = (order.host.clone(), order.incarnation);
    if read_body(response.into_body(), ANSWER_BYTES, ANSWER)
        .await
        .is_ok()
    {
        control.pool.put(&id, connection, None);
    }
    Ok(match status {
        StatusCode::ACCEPTED => Outcome::Begun,
        StatusCode::OK => Outcome::Done,
        _ if status.is_client_error() => Outcome::Refused,
        _ => Outcome::Unknown,
    })
}
