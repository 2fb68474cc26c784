//! Which hosts are to be probed, and which replica a host belongs to.

use std::time::Duration;

use crate::Controller;
use crate::host::Host;
use crate::replica::Replica;
use base::Time;
use base::UpstreamId;
use fleet::Announcement;

impl Controller {
    /// The last announcements of all hosts of the replica that a head host leads.
    pub fn replica_hosts(&self, head: &UpstreamId) -> Vec<Announcement> {
        let is_led = |replica: &&Replica| {
            let is_head = replica.head.as_ref().is_some_and(|(id, _)| id == head);
            is_head && (replica.is_serving_or_forming() || replica.runs_requests())
        };
        let Some(replica) = self.replicas.values().find(is_led) else {
            return Vec::new();
        };
        let hosts = replica.hosts().filter_map(|(id, _)| self.hosts.get(id));
        hosts.map(|host| host.announcement.clone()).collect()
    }

    /// The head host of the replica that a host belongs to.
    pub fn replica_head(&self, host: &UpstreamId) -> Option<&UpstreamId> {
        let mut replicas = self.replicas.values().filter(|replica| {
            let is_bound = replica.is_serving_or_forming() || replica.runs_requests();
            is_bound && replica.hosts().any(|(id, _)| id == host)
        });
        replicas.next()?.head.as_ref().map(|(id, _)| id)
    }

    /// Hosts that have been silent for at least `silent` and are not yet marked as lost.
    pub fn silent_hosts(&self, silent: Duration, now: Time) -> Vec<Announcement> {
        let limit = |host: &Host| match host.has_announced {
            true => silent,
            // Since the term began, it had the time for an announcement.
            false => silent * 2 / 3,
        };
        let is_silent =
            |host: &&Host| host.lost_since.is_none() && limit(host) <= now.since(host.heard_at);
        let hosts = self.hosts.values().filter(is_silent);
        hosts.map(|host| host.announcement.clone()).collect()
    }
}
