//! Replicas that are to be closed and whose head host doesn't acknowledge an order to leave.
//!
//! Silence doesn't show that such a head host has ended: the other hosts may still reach it, and
//! it serves with them. Entry hosts are asked to tell it to leave. Each other host is ordered to
//! leave too, and is free once it has left for certain:
//!
//! - it acknowledged an order to leave, in the incarnation that had joined,
//! - it was heard in a later incarnation, which belongs to nothing that the earlier one joined, or
//! - it announced that it belongs to a replica with a later epoch. A join replaces the one before.
//!
//! A host that has not, stays bound. A controller of a later term doesn't know what was
//! acknowledged to this one and orders the hosts to leave again.
//!
//! A replica that lacks a host stands still, and its engine gives it up after a while. Then
//! nothing is left to be told to the head host, unless it comes back.

use std::time::Duration;

use crate::Controller;
use crate::Order;
use crate::OrderId;
use crate::order::Action;
use crate::replica::Phase;
use crate::replica::Replica;
use base::Fence;
use base::ReplicaName;
use base::Time;
use base::UpstreamId;

/// A replica that is broken, though its head host could not be told to leave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GivenUpReplica {
    /// The replica's name.
    pub replica: ReplicaName,
    /// The head host. None if it was never heard.
    pub head: Option<UpstreamId>,
    /// The other hosts that have left for certain.
    pub left_hosts: Vec<UpstreamId>,
    /// How long the replica was to be closed.
    pub waited: Duration,
}

impl Controller {
    /// Orders to leave for the head hosts of closing replicas that this process cannot reach, and
    /// for which other hosts wait. Other processes may reach them and pass the order on.
    pub fn leave_orders_for_unreachable_heads(&self) -> Vec<Order> {
        let waiting = self.replicas.values().filter(|r| r.do_hosts_wait_for_head);
        let leave = |replica: &Replica| {
            let (id, incarnation) = replica.head.clone()?;
            let addr = self.hosts.get(&id)?.announcement.addr;
            Some(Order {
                id: OrderId(0),
                host: id,
                incarnation,
                addr,
                action: Action::Leave {
                    replica: replica.name.clone(),
                    epoch: replica.epoch,
                },
                begun_orders: None,
            })
        };
        waiting.filter_map(leave).collect()
    }

    /// Records that the head host of a replica has left it, as another process reported.
    pub fn record_head_left(&mut self, epoch: Fence, now: Time) {
        let replica = self.replicas.get_mut(&epoch);
        if let Some(replica) = replica.filter(|r| matches!(r.phase, Phase::Closing(_))) {
            replica.enter_phase(Phase::Ended, now);
        }
    }

    /// The replicas that were given up since the last call.
    pub fn take_given_up(&mut self) -> Vec<GivenUpReplica> {
        std::mem::take(&mut self.given_up)
    }

    /// Whether a closing replica has lacked a host for so long that it is broken.
    pub(crate) fn is_broken(&self, replica: &Replica, now: Time) -> bool {
        let since = replica.incomplete_since;
        since.is_some_and(|since| since + self.cfg.lost_head_wait <= now)
    }

    /// Records for [`Self::take_given_up`] that a replica is given up.
    pub(crate) fn record_given_up(&mut self, epoch: Fence, now: Time) {
        let Some(replica) = self.replicas.get(&epoch) else {
            return;
        };
        self.given_up.push(GivenUpReplica {
            replica: replica.name.clone(),
            head: replica.head.as_ref().map(|(id, _)| id.clone()),
            left_hosts: replica.left_hosts.iter().cloned().collect(),
            waited: now.since(replica.phase_since),
        });
    }

    /// Orders the hosts to leave that wait for a head host, and records those that have left
    /// without an order.
    pub(crate) fn release_waiting_hosts(&mut self, now: Time) -> Vec<Order> {
        let mut orders = Vec::new();
        let ending = self.replicas.values();
        let ending = ending.filter(|r| matches!(r.phase, Phase::Closing(_) | Phase::GivenUp));
        let epochs: Vec<Fence> = ending.map(|replica| replica.epoch).collect();
        for epoch in epochs {
            self.record_hosts_left(epoch, now);
            orders.extend(self.order_hosts_to_leave(epoch, now));
        }
        orders
    }

    /// Records which hosts of a replica that is not to serve any more were heard elsewhere.
    fn record_hosts_left(&mut self, epoch: Fence, now: Time) {
        let Some(replica) = self.replicas.get_mut(&epoch) else {
            return;
        };
        let hosts = &self.hosts;
        let held = replica
            .other_hosts
            .iter()
            .filter(|(id, _)| replica.holds(id));
        let left = held.filter(|(id, incarnation)| {
            let host = hosts.get(id);
            host.is_some_and(|host| host.has_gone_on_from(epoch, *incarnation))
        });
        let left: Vec<UpstreamId> = left.map(|(id, _)| id.clone()).collect();
        left.iter().for_each(|id| replica.record_left(id, now));
    }

    /// Orders the hosts of a replica to leave that wait for its head host.
    fn order_hosts_to_leave(&mut self, epoch: Fence, now: Time) -> Vec<Order> {
        let is_head_overdue = self.is_head_overdue(epoch, now);
        let Some(replica) = self.replicas.get_mut(&epoch) else {
            return Vec::new();
        };
        let (hosts, silence_limit) = (&self.hosts, self.cfg.silence_limit);
        let waiting = replica.other_hosts.iter().filter(|(id, incarnation)| {
            hosts.get(id).is_some_and(|host| {
                host.announcement.incarnation == *incarnation
                    && host.is_in_reach(silence_limit, now)
            })
        });
        let waiting: Vec<UpstreamId> = waiting.map(|(id, _)| id.clone()).collect();
        let is_closing = matches!(replica.phase, Phase::Closing(_));
        replica.do_hosts_wait_for_head = is_closing && is_head_overdue && !waiting.is_empty();
        if !replica.do_hosts_wait_for_head && replica.phase != Phase::GivenUp {
            return Vec::new();
        }
        let action = Action::Leave {
            replica: replica.name.clone(),
            epoch,
        };
        let held: Vec<UpstreamId> = waiting.into_iter().filter(|id| replica.holds(id)).collect();
        let orders = held.iter();
        let orders = orders.filter_map(|id| self.issue_order(id, action.clone(), now));
        orders.collect()
    }

    /// Whether the head host of a closing replica should have acknowledged that it left.
    fn is_head_overdue(&self, epoch: Fence, now: Time) -> bool {
        let Some(replica) = self.replicas.get(&epoch) else {
            return false;
        };
        let Phase::Closing(not_before) = replica.phase else {
            return false;
        };
        let head = replica.head.as_ref();
        let head = head.and_then(|(id, incarnation)| {
            let host = self.hosts.get(id);
            host.filter(|host| host.announcement.incarnation == *incarnation)
        });
        let is_lost = head.is_none_or(|host| host.lost_since.is_some());
        let due_at = replica.phase_since.max(not_before) + self.cfg.effect_timeout;
        is_lost || due_at <= now
    }
}
