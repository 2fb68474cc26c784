//! Replicas that are to be closed and whose head host this process cannot reach.
//!
//! Such a head may still serve. Entry hosts are asked to tell it to leave, and its hosts stay
//! bound until one of them has told it, or the wait is over and one of them could not reach the
//! head either. Without such a report, nobody may have tried.

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

/// A replica whose hosts were set free although its head host could not be told to leave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GivenUpReplica {
    /// The replica's name.
    pub replica: ReplicaName,
    /// The head host. None if it was never heard.
    pub head: Option<UpstreamId>,
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

    /// Records that an entry host could not reach the head host of a replica either.
    pub fn record_head_unreached(&mut self, epoch: Fence, now: Time) {
        let replica = self.replicas.get_mut(&epoch);
        if let Some(replica) = replica.filter(|r| matches!(r.phase, Phase::Closing(_))) {
            replica.head_unreached_at = Some(now);
        }
    }

    /// The replicas that were given up since the last call.
    pub fn take_given_up(&mut self) -> Vec<GivenUpReplica> {
        std::mem::take(&mut self.given_up)
    }

    /// Whether the hosts of a closing replica may be set free although its head host has not
    /// left.
    pub(crate) fn may_give_up(&self, replica: &Replica, now: Time) -> bool {
        let wait_is_over = replica.phase_since + self.cfg.lost_head_wait <= now;
        wait_is_over && self.is_head_unreached(replica)
    }

    /// Whether entry hosts tried to reach the lost head host of a closing replica and could not.
    fn is_head_unreached(&self, replica: &Replica) -> bool {
        let head = replica.head.as_ref().and_then(|(id, _)| self.hosts.get(id));
        // No entry host can try a head host whose address nobody knows.
        let Some(head) = head else {
            return true;
        };
        let Some(lost_since) = head.lost_since else {
            return false;
        };
        // Reports take time, so an early one may be of an attempt made before the wait began.
        let counts_from = replica.phase_since + self.cfg.lost_head_wait / 2;
        let counts_from = counts_from.max(lost_since);
        let reported_at = replica.head_unreached_at;
        reported_at.is_some_and(|at| counts_from <= at)
    }

    /// Records for [`Self::take_given_up`] that a replica is given up.
    pub(crate) fn record_given_up(&mut self, epoch: Fence, now: Time) {
        let Some(replica) = self.replicas.get(&epoch) else {
            return;
        };
        self.given_up.push(GivenUpReplica {
            replica: replica.name.clone(),
            head: replica.head.as_ref().map(|(id, _)| id.clone()),
            waited: now.since(replica.entered_phase_at),
        });
    }

    /// Restarts the wait for a lost head host while no other host of its replica is heard
    /// either: a replica that is partitioned off as a whole may go on serving.
    pub(crate) fn restart_lost_head_waits(&mut self, now: Time) {
        let hosts = &self.hosts;
        let max_silence = self.cfg.silence_limit / 2;
        for replica in self.replicas.values_mut() {
            let others_heard = replica.other_hosts.iter().any(|(id, incarnation)| {
                let host = hosts
                    .get(id)
                    .filter(|host| host.announcement.incarnation == *incarnation);
                host.is_some_and(|host| {
                    let is_heard = host.has_announced && host.lost_since.is_none();
                    is_heard && now.since(host.heard_at) < max_silence
                })
            });
            let head = replica.head.as_ref();
            let head = head.and_then(|(id, incarnation)| {
                hosts
                    .get(id)
                    .filter(|h| h.announcement.incarnation == *incarnation)
            });
            let is_lost = head.is_none_or(|host| host.lost_since.is_some());
            let is_waiting = matches!(replica.phase, Phase::Closing(_)) && is_lost;
            replica.do_hosts_wait_for_head = is_waiting && others_heard;
            if is_waiting && !others_heard {
                replica.phase_since = now;
            }
        }
    }
}
