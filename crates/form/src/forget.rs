//! Forgets hosts and replicas that no longer matter.

use std::collections::BTreeSet;

use crate::Controller;
use crate::replica::Phase;
use crate::replica::Replica;
use base::Fence;
use base::Time;
use base::UpstreamId;

impl Controller {
    /// Forgets hosts of no replica that have departed or were silent for long, and replicas that
    /// ended long ago.
    pub(crate) fn forget_unneeded(&mut self, now: Time) {
        self.forget_silent_replicas(now);
        self.forget_departed_hosts();
        self.forget_silent_hosts(now);
        let forget_after = 10 * self.cfg.lost_head_wait;
        self.replicas.retain(|_, replica| {
            replica.is_unfinished() || now.since(replica.phase_since) < forget_after
        });
    }

    /// Forgets hosts of no replica that were silent for long.
    pub(crate) fn forget_silent_hosts(&mut self, now: Time) {
        let forget_after = 10 * self.cfg.lost_head_wait;
        let held = self.replicas.values().filter(|r| r.is_unfinished());
        let held = held.flat_map(Replica::hosts).map(|(id, _)| id.clone());
        let held: BTreeSet<UpstreamId> = held.collect();
        self.hosts
            .retain(|id, host| held.contains(id) || now.since(host.heard_at) < forget_after);
    }

    fn forget_departed_hosts(&mut self) {
        let departed = self.hosts.iter().filter(|(_, host)| host.has_departed);
        let unneeded = departed.filter(|(id, _)| !self.is_head_of_held_replica(id));
        let unneeded: Vec<UpstreamId> = unneeded.map(|(id, _)| id.clone()).collect();
        for id in unneeded {
            self.hosts.remove(&id);
        }
    }

    /// Forgets closing replicas none of whose hosts was heard for long, with their hosts. If one
    /// is heard later, its replica is adopted like any that this process doesn't know.
    fn forget_silent_replicas(&mut self, now: Time) {
        let limit = self.cfg.silent_replica_limit;
        let is_silent = |id: &UpstreamId| {
            let host = self.hosts.get(id);
            host.is_none_or(|host| limit <= now.since(host.heard_at))
        };
        let closing = self.replicas.values();
        let closing = closing.filter(|replica| matches!(replica.phase, Phase::Closing(_)));
        let silent = closing.filter(|replica| replica.hosts().all(|(id, _)| is_silent(id)));
        let epochs: Vec<Fence> = silent.map(|replica| replica.epoch).collect();
        for replica in epochs
            .iter()
            .filter_map(|epoch| self.replicas.remove(epoch))
        {
            for (id, _) in replica.hosts() {
                self.hosts.remove(id);
            }
        }
    }

    /// Whether a host is the head of a replica whose hosts are bound to it.
    fn is_head_of_held_replica(&self, id: &UpstreamId) -> bool {
        let mut holding = self.replicas.values().filter(|r| r.is_unfinished());
        holding.any(|replica| replica.head.as_ref().is_some_and(|(head, _)| head == id))
    }
}
