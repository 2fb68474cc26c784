//! Moves each replica through its phases according to its hosts' reports.

use crate::Controller;
use crate::Phase;
use crate::PhaseReason;
use crate::host::Host;
use crate::replica::HostStanding;
use crate::replica::Replica;
use base::Duty;
use base::HostId;
use base::ReplicaId;
use base::Time;

impl Controller {
    /// Moves every replica to the phase that its hosts' reports allow now.
    pub(crate) fn advance_replicas(&mut self, now: Time) {
        let ids: Vec<_> = self.replicas.keys().copied().collect();
        for id in ids {
            if let Some(mut replica) = self.replicas.remove(&id) {
                self.advance_replica(&mut replica, now);
                if !self.is_released(&replica) {
                    self.replicas.insert(id, replica);
                }
            }
        }
        self.drain_replaced(now);
    }

    fn advance_replica(&mut self, replica: &mut Replica, now: Time) {
        self.record_joined_hosts(replica);
        match replica.phase {
            Phase::Forming => self.advance_forming(replica, now),
            Phase::Serving => self.advance_serving(replica, now),
            Phase::Draining => self.advance_draining(replica, now),
            Phase::Broken | Phase::Releasing => {}
        }
        if replica.phase == Phase::Broken && !self.may_route(replica.id(), now) {
            replica.enter_phase(Phase::Releasing, None, now);
        }
        if replica.phase == Phase::Releasing {
            self.clear_owner_of_released(replica, now);
        }
    }

    fn record_joined_hosts(&self, replica: &mut Replica) {
        for id in &replica.assignment.hosts {
            let host = self.hosts.get(id);
            if host.and_then(Host::assignment) == Some(&replica.assignment) {
                replica.joined_hosts.insert(*id);
            }
        }
    }

    fn advance_forming(&mut self, replica: &mut Replica, now: Time) {
        if self.break_if_lost(replica, now) {
            return;
        }
        if let Some(leaving) = self.leaving_host(replica) {
            self.break_replica(replica, PhaseReason::HostLeaving(leaving), now);
        } else if self.is_ready(replica, now) {
            replica.enter_phase(Phase::Serving, None, now);
        } else if replica.phase_since + self.cfg.load_timeout <= now {
            self.record_loss_of_unready(replica, now);
            self.break_replica(replica, PhaseReason::LoadTimeout, now);
        }
    }

    fn advance_serving(&mut self, replica: &mut Replica, now: Time) {
        if self.break_if_lost(replica, now) {
            return;
        }
        if let Some(leaving) = self.leaving_host(replica) {
            replica.enter_phase(
                Phase::Draining,
                Some(PhaseReason::HostLeaving(leaving)),
                now,
            );
        }
    }

    fn advance_draining(&mut self, replica: &mut Replica, now: Time) {
        if self.break_if_lost(replica, now) || self.may_route(replica.id(), now) {
            return;
        }
        // Load figures in reports from before this time may be older than the last request.
        let load_known_from = *replica.unroutable_since.get_or_insert(now) + self.cfg.max_load_age;
        let has_finished = |id| {
            let host: Option<&Host> = self.hosts.get(id);
            host.is_none_or(|host| load_known_from <= host.heard_at && host.request_count() == 0)
        };
        let is_timed_out = replica.phase_since + self.cfg.drain_timeout <= now;
        if is_timed_out || replica.assignment.hosts.iter().all(has_finished) {
            replica.enter_phase(Phase::Releasing, None, now);
        }
    }

    fn break_if_lost(&mut self, replica: &mut Replica, now: Time) -> bool {
        let lost = replica.assignment.hosts.iter().find_map(|id| {
            let host = self.hosts.get(id);
            let standing = host.map(|host| replica.host_standing(host, &self.cfg, now));
            match standing.unwrap_or(HostStanding::Lost) {
                HostStanding::Lost => Some(PhaseReason::HostLost(*id)),
                HostStanding::Changed => Some(PhaseReason::HostChanged(*id)),
                HostStanding::Ready | HostStanding::Pending => None,
            }
        });
        if let Some(reason) = lost {
            self.break_replica(replica, reason, now);
        }
        lost.is_some()
    }

    fn break_replica(&mut self, replica: &mut Replica, reason: PhaseReason, now: Time) {
        replica.enter_phase(Phase::Broken, Some(reason), now);
        let lost_from = (replica.assignment.model.clone(), replica.domain);
        self.history.replica_lost_at.insert(lost_from, now);
    }

    fn is_ready(&self, replica: &Replica, now: Time) -> bool {
        replica.assignment.hosts.iter().all(|id| {
            let host = self.hosts.get(id);
            host.is_some_and(|h| replica.host_standing(h, &self.cfg, now) == HostStanding::Ready)
        })
    }

    fn leaving_host(&self, replica: &Replica) -> Option<HostId> {
        let is_leaving = |id: &&HostId| self.hosts.get(id).is_some_and(|host| host.report.leaving);
        replica.assignment.hosts.iter().find(is_leaving).copied()
    }

    fn record_loss_of_unready(&mut self, replica: &Replica, now: Time) {
        for id in &replica.assignment.hosts {
            if let Some(host) = self.hosts.get_mut(id)
                && !replica.is_confirmed_by(host)
            {
                host.record_loss(&self.cfg, now);
            }
        }
    }

    /// Removes the replica as owner of those of its hosts that are idle or lost.
    fn clear_owner_of_released(&mut self, replica: &Replica, now: Time) {
        for id in &replica.assignment.hosts {
            let Some(host) = self.hosts.get_mut(id) else {
                continue;
            };
            let is_idle = host.report.duty == Duty::Idle && host.is_settled(now);
            let is_lost = host.is_lost(&self.cfg, now) && host.pending_order.is_none();
            if host.owner == Some(replica.id()) && (is_idle || is_lost) {
                host.owner = None;
            }
        }
    }

    fn is_released(&self, replica: &Replica) -> bool {
        let owned = |id: &HostId| {
            let host = self.hosts.get(id);
            host.is_some_and(|host| host.owner == Some(replica.id()))
        };
        replica.phase == Phase::Releasing && !replica.assignment.hosts.iter().any(owned)
    }

    /// Drains the replicas whose replacement serves.
    fn drain_replaced(&mut self, now: Time) {
        let serving = self
            .replicas
            .values_mut()
            .filter(|r| r.phase == Phase::Serving);
        let replaced: Vec<ReplicaId> = serving.filter_map(|r| r.replaces.take()).collect();
        for id in replaced {
            self.drain_replica(id, PhaseReason::Moved, now);
        }
    }

    /// Takes a replica out of service. One that isn't serving yet is given up at once.
    pub(crate) fn drain_replica(&mut self, id: ReplicaId, reason: PhaseReason, now: Time) {
        let Some(replica) = self.replicas.get_mut(&id) else {
            return;
        };
        match replica.phase {
            Phase::Forming => replica.enter_phase(Phase::Broken, Some(reason), now),
            Phase::Serving => replica.enter_phase(Phase::Draining, Some(reason), now),
            Phase::Draining | Phase::Broken | Phase::Releasing => {}
        }
    }
}
