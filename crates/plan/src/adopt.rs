//! Adopts replicas that the controller doesn't know but whose hosts report them.
//!
//! A controller with a new tenure finds its predecessor's replicas this way. A domain
//! that was only cut off by the network also returns to service this way, without a
//! new load. A host that restarted and still reports its assignment is not believed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Controller;
use crate::Phase;
use crate::host::Host;
use crate::replica::Replica;
use base::Assignment;
use base::HostId;
use base::Time;

impl Controller {
    /// Adopts each assignment that all of its hosts report.
    pub(crate) fn adopt_replicas(&mut self, now: Time) {
        self.mark_strays(now);
        for assignment in self.claimed_assignments(now) {
            if self.is_complete(&assignment, now) {
                self.adopt_replica(assignment, now);
            }
        }
    }

    fn mark_strays(&mut self, now: Time) {
        for host in self.hosts.values_mut() {
            let is_stray = host.owner.is_none() && host.assignment().is_some();
            if !is_stray {
                host.stray_since = None;
            } else if host.stray_since.is_none() {
                host.stray_since = Some(now);
            }
        }
    }

    fn claimed_assignments(&self, now: Time) -> BTreeSet<Assignment> {
        let claims = self
            .hosts
            .values()
            .filter(|host| self.may_be_adopted(host, now));
        claims
            .filter_map(|host| host.assignment().cloned())
            .collect()
    }

    fn may_be_adopted(&self, host: &Host, now: Time) -> bool {
        host.owner.is_none()
            && host.assignment().is_some()
            && host.is_fresh(&self.cfg, now)
            && host.is_settled(now)
            && !host.claim_distrusted
            && host.held_down_until <= now
    }

    fn is_complete(&self, assignment: &Assignment, now: Time) -> bool {
        let hosts: BTreeSet<&HostId> = assignment.hosts.iter().collect();
        let agrees = |id: &&HostId| {
            let host = self.hosts.get(id);
            host.is_some_and(|host| {
                self.may_be_adopted(host, now) && host.assignment() == Some(assignment)
            })
        };
        !hosts.is_empty()
            && hosts.len() == assignment.hosts.len()
            && !self.replicas.contains_key(&assignment.replica)
            && hosts.iter().all(agrees)
    }

    fn adopt_replica(&mut self, assignment: Assignment, now: Time) {
        let mut incarnations = BTreeMap::new();
        let mut domain = None;
        for id in &assignment.hosts {
            if let Some(host) = self.hosts.get_mut(id) {
                host.owner = Some(assignment.replica);
                host.stray_since = None;
                incarnations.insert(*id, host.report.incarnation);
                domain.get_or_insert(host.report.domain);
            }
        }
        let replica = Replica {
            domain: domain.unwrap_or_default(),
            joined_hosts: assignment.hosts.iter().copied().collect(),
            incarnations,
            phase: Phase::Forming,
            phase_since: now,
            reason: None,
            replaces: None,
            unroutable_since: None,
            assignment,
        };
        self.replicas.insert(replica.id(), replica);
    }
}
