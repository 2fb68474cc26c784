//! Takes each replica through its life by what its hosts say.

use crate::Controller;
use crate::Phase;
use crate::Reason;
use crate::host::Host;
use crate::replica::Replica;
use crate::replica::Standing;
use base::Duty;
use base::HostId;
use base::ReplicaId;
use base::Time;

impl Controller {
    /// Takes every replica as far as it can go now.
    pub(crate) fn advance(&mut self, now: Time) {
        let ids: Vec<_> = self.replicas.keys().copied().collect();
        for id in ids {
            if let Some(mut replica) = self.replicas.remove(&id) {
                self.step(&mut replica, now);
                if !self.is_over(&replica) {
                    self.replicas.insert(id, replica);
                }
            }
        }
        self.end_replaced(now);
    }

    fn step(&mut self, replica: &mut Replica, now: Time) {
        self.note_seen(replica);
        match replica.phase {
            Phase::Forming => self.step_forming(replica, now),
            Phase::Serving => self.step_serving(replica, now),
            Phase::Draining => self.step_draining(replica, now),
            Phase::Broken | Phase::Releasing => {}
        }
        if replica.phase == Phase::Broken && !self.may_route(replica.id(), now) {
            replica.enter(Phase::Releasing, None, now);
        }
        if replica.phase == Phase::Releasing {
            self.disown(replica, now);
        }
    }

    fn note_seen(&self, replica: &mut Replica) {
        for id in &replica.assignment.hosts {
            let host = self.hosts.get(id);
            if host.and_then(Host::assignment) == Some(&replica.assignment) {
                replica.seen.insert(*id);
            }
        }
    }

    fn step_forming(&mut self, replica: &mut Replica, now: Time) {
        if self.break_if_lost(replica, now) {
            return;
        }
        if let Some(leaving) = self.leaving(replica) {
            self.break_replica(replica, Reason::HostLeaving(leaving), now);
        } else if self.is_ready(replica, now) {
            replica.enter(Phase::Serving, None, now);
        } else if replica.since + self.cfg.load_timeout <= now {
            self.blame_unready(replica, now);
            self.break_replica(replica, Reason::LoadTimeout, now);
        }
    }

    fn step_serving(&mut self, replica: &mut Replica, now: Time) {
        if self.break_if_lost(replica, now) {
            return;
        }
        if let Some(leaving) = self.leaving(replica) {
            replica.enter(Phase::Draining, Some(Reason::HostLeaving(leaving)), now);
        }
    }

    fn step_draining(&mut self, replica: &mut Replica, now: Time) {
        if self.break_if_lost(replica, now) || self.may_route(replica.id(), now) {
            return;
        }
        let since = *replica.unroutable_at.get_or_insert(now) + self.cfg.max_load_age;
        let is_done = |id| {
            let host: Option<&Host> = self.hosts.get(id);
            host.is_none_or(|host| since <= host.heard && host.in_flight() == 0)
        };
        let is_over = replica.since + self.cfg.drain_timeout <= now;
        if is_over || replica.assignment.hosts.iter().all(is_done) {
            replica.enter(Phase::Releasing, None, now);
        }
    }

    fn break_if_lost(&mut self, replica: &mut Replica, now: Time) -> bool {
        let lost = replica.assignment.hosts.iter().find_map(|id| {
            let host = self.hosts.get(id);
            let standing = host.map(|host| replica.standing(host, &self.cfg, now));
            match standing.unwrap_or(Standing::Lost) {
                Standing::Lost => Some(Reason::HostLost(*id)),
                Standing::Changed => Some(Reason::HostChanged(*id)),
                Standing::Ready | Standing::Pending => None,
            }
        });
        if let Some(why) = lost {
            self.break_replica(replica, why, now);
        }
        lost.is_some()
    }

    fn break_replica(&mut self, replica: &mut Replica, why: Reason, now: Time) {
        replica.enter(Phase::Broken, Some(why), now);
        let home = (replica.assignment.model.clone(), replica.domain);
        self.trend.homes.insert(home, now);
    }

    fn is_ready(&self, replica: &Replica, now: Time) -> bool {
        replica.assignment.hosts.iter().all(|id| {
            let host = self.hosts.get(id);
            host.is_some_and(|h| replica.standing(h, &self.cfg, now) == Standing::Ready)
        })
    }

    fn leaving(&self, replica: &Replica) -> Option<HostId> {
        let leaves = |id: &&HostId| self.hosts.get(id).is_some_and(|host| host.report.leaving);
        replica.assignment.hosts.iter().find(leaves).copied()
    }

    fn blame_unready(&mut self, replica: &Replica, now: Time) {
        for id in &replica.assignment.hosts {
            if let Some(host) = self.hosts.get_mut(id)
                && !replica.is_confirmed_by(host)
            {
                host.flap(&self.cfg, now);
            }
        }
    }

    /// Strikes those hosts from the books that are idle or gone.
    fn disown(&mut self, replica: &Replica, now: Time) {
        for id in &replica.assignment.hosts {
            let Some(host) = self.hosts.get_mut(id) else {
                continue;
            };
            let is_idle = host.report.duty == Duty::Idle && host.is_settled(now);
            let is_gone = host.is_lost(&self.cfg, now) && host.order.is_none();
            if host.owner == Some(replica.id()) && (is_idle || is_gone) {
                host.owner = None;
            }
        }
    }

    fn is_over(&self, replica: &Replica) -> bool {
        let owned = |id: &HostId| {
            let host = self.hosts.get(id);
            host.is_some_and(|host| host.owner == Some(replica.id()))
        };
        replica.phase == Phase::Releasing && !replica.assignment.hosts.iter().any(owned)
    }

    /// Drains replicas whose copy serves.
    fn end_replaced(&mut self, now: Time) {
        let copies = self
            .replicas
            .values_mut()
            .filter(|r| r.phase == Phase::Serving);
        let replaced: Vec<ReplicaId> = copies.filter_map(|r| r.replaces.take()).collect();
        for id in replaced {
            self.drain(id, Reason::Moved, now);
        }
    }

    /// Takes a replica out of service. One that never served is given up at once.
    pub(crate) fn drain(&mut self, id: ReplicaId, why: Reason, now: Time) {
        let Some(replica) = self.replicas.get_mut(&id) else {
            return;
        };
        match replica.phase {
            Phase::Forming => replica.enter(Phase::Broken, Some(why), now),
            Phase::Serving => replica.enter(Phase::Draining, Some(why), now),
            Phase::Draining | Phase::Broken | Phase::Releasing => {}
        }
    }
}
