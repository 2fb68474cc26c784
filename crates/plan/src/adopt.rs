//! Takes replicas into the books that their hosts say they form.
//!
//! A controller whose tenure is new finds its predecessor's replicas this way,
//! and so comes back a domain that was only cut off. A host that restarted and
//! still claims its place is not believed.

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
    /// Adopts each group all of whose hosts name the same assignment.
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
        let named: BTreeSet<&HostId> = assignment.hosts.iter().collect();
        let agrees = |id: &&HostId| {
            let host = self.hosts.get(id);
            host.is_some_and(|host| {
                self.may_be_adopted(host, now) && host.assignment() == Some(assignment)
            })
        };
        !named.is_empty()
            && named.len() == assignment.hosts.len()
            && !self.replicas.contains_key(&assignment.replica)
            && named.iter().all(agrees)
    }

    fn adopt_replica(&mut self, assignment: Assignment, now: Time) {
        let mut lives = BTreeMap::new();
        let mut domain = None;
        for id in &assignment.hosts {
            if let Some(host) = self.hosts.get_mut(id) {
                host.owner = Some(assignment.replica);
                host.stray_since = None;
                lives.insert(*id, host.report.incarnation);
                domain.get_or_insert(host.report.domain);
            }
        }
        let replica = Replica {
            domain: domain.unwrap_or_default(),
            joined_hosts: assignment.hosts.iter().copied().collect(),
            incarnations: lives,
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
