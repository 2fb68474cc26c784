//! Compares what a host reports right before an order is sent with what the order rests on.
//!
//! An announcement may be old when an order is issued. If the report shows that the host has
//! joined another replica since, whose head host may serve, the host must not be ordered to
//! join elsewhere. The count of begun orders comes from the same report, so the host refuses an
//! order if it has joined another replica after it reported.

use crate::Controller;
use crate::Order;
use crate::controller::OutstandingOrder;
use crate::order::Action;
use base::Fence;
use base::Incarnation;
use fleet::HostStatus;
use fleet::ReportedPlace;

impl Controller {
    /// The order with the number of orders that its host reports to have begun. None if the
    /// order is no longer to be carried out or rests on what the report contradicts.
    pub fn confirm_order(&mut self, order: &Order, status: &HostStatus) -> Option<Order> {
        let outstanding = self.outstanding_orders.get(&order.id)?;
        if !stands(outstanding, status) {
            return None;
        }
        self.record_begun_orders(order, status);
        Some(Order {
            begun_orders: Some(status.begun_orders),
            ..order.clone()
        })
    }

    /// Records the reported count, which confirms later orders without another report. So it is
    /// only recorded if the report agrees with the announcement that they rest on.
    fn record_begun_orders(&mut self, order: &Order, status: &HostStatus) {
        let Some(host) = self.hosts.get_mut(&order.host) else {
            return;
        };
        let announced = host.place().map(|place| place.epoch);
        let is_same_incarnation = host.announcement.incarnation == order.incarnation
            && agrees_on_incarnation(order.incarnation, status);
        if is_same_incarnation && agrees_on_place(announced, status) {
            host.begun_orders = Some(status.begun_orders);
        }
    }
}

/// Whether an order may still be sent to a host that reports this.
fn stands(order: &OutstandingOrder, status: &HostStatus) -> bool {
    let is_same_incarnation = agrees_on_incarnation(order.incarnation, status);
    match order.action {
        // They name the replica that they are about, and affect no other one.
        Action::Open { .. } | Action::Leave { .. } => true,
        // A load affects no replica.
        Action::Stage { .. } => is_same_incarnation,
        Action::Join { .. } => {
            is_same_incarnation && agrees_on_place(order.announced_epoch, status)
        }
    }
}

/// Whether the host runs in the incarnation, as far as it reports that.
fn agrees_on_incarnation(incarnation: Incarnation, status: &HostStatus) -> bool {
    let reported = status.incarnation;
    reported.is_none_or(|reported| reported == incarnation)
}

/// Whether the host belongs to no other replica than announced, as far as it reports that.
fn agrees_on_place(announced: Option<Fence>, status: &HostStatus) -> bool {
    match status.place {
        ReportedPlace::Unnamed => true,
        ReportedPlace::In(epoch) => announced == Some(epoch),
        ReportedPlace::Unreadable => false,
    }
}
