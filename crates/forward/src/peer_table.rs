//! The other entry hosts, and the choice of one to connect through.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;

use base::CentreName;
use base::NodeId;
use base::ServiceName;
use base::Time;
use fleet::EntryList;
use fleet::EntryReport;

/// How long an entry host that did not answer is left out.
const FAILURE_EXCLUSION: Duration = Duration::from_secs(1);

/// The other entry hosts of the deployment, as the leader published them.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own_id: NodeId,
    centre: CentreName,
    list: EntryList,
    excluded_until: BTreeMap<NodeId, Time>,
    rng: Rng,
}

impl PeerTable {
    /// Creates the table of an entry host that knows no others. `seed` is for the random part of
    /// the choice.
    pub fn new(own_id: NodeId, centre: CentreName, seed: u64) -> Self {
        Self {
            own_id,
            centre,
            list: EntryList::default(),
            excluded_until: BTreeMap::new(),
            rng: Rng::with_seed(seed),
        }
    }

    /// The list that is in force.
    pub fn list(&self) -> &EntryList {
        &self.list
    }

    /// Takes over the leader's list, if it is newer.
    pub fn apply(&mut self, list: EntryList) {
        self.list.follow(list);
    }

    /// Whether a process is an entry host of the deployment.
    pub fn is_entry_host(&self, node: NodeId) -> bool {
        self.list.items.iter().any(|entry| entry.node == node)
    }

    /// Whether new connections may lead through an entry host.
    pub fn is_available(&self, node: NodeId) -> bool {
        let mut entries = self.list.items.iter();
        entries.any(|entry| entry.node == node && !entry.is_leaving)
    }

    /// Chooses an entry host to connect through to a process of a service, after those in `avoid`
    /// failed. Hosts of the own data centre are taken first, as long as at least half of them are
    /// fit.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        avoid: &BTreeSet<NodeId>,
        now: Time,
    ) -> Option<NodeId> {
        self.excluded_until.retain(|_, until| now < *until);
        let is_fit = |entry: &&EntryReport| {
            entry.node != self.own_id
                && !entry.is_leaving
                && !entry.cut_from.contains(service)
                && !avoid.contains(&entry.node)
                && !self.excluded_until.contains_key(&entry.node)
        };
        let fit: Vec<&EntryReport> = self.list.items.iter().filter(is_fit).collect();
        let is_near = |entry: &&EntryReport| entry.centre == self.centre;
        let near: Vec<&EntryReport> = fit.iter().copied().filter(is_near).collect();
        let far: Vec<&EntryReport> = fit.iter().copied().filter(|e| !is_near(e)).collect();
        let near_in_all = self.list.items.iter().filter(is_near).count();
        let choice = match avoid.is_empty() {
            // Few that are left must not carry the load of a whole data centre.
            true if near_in_all <= 2 * near.len() && !near.is_empty() => near,
            true => fit,
            // All of the data centre may be cut off.
            false if !far.is_empty() => far,
            false => fit,
        };
        let index = self.rng.usize(0..choice.len().max(1));
        choice.get(index).map(|entry| entry.node)
    }

    /// Records that an entry host did not answer, or takes no more connections.
    pub fn record_failure(&mut self, node: NodeId, now: Time) {
        self.excluded_until.insert(node, now + FAILURE_EXCLUSION);
    }
}
