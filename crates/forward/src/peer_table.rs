//! The other entry hosts, and the choice of one to connect through.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;

use base::CentreName;
use base::NodeId;
use base::ServiceName;
use base::Time;
use fleet::EntryList;
use fleet::EntryReport;

/// How long an entry host that did not answer is left out, or one that reaches no process of a
/// service, for that service.
const FAILURE_EXCLUSION: Duration = Duration::from_secs(1);

/// Addresses of a service that an entry host must fail to reach before it is left out. What is at
/// one alone may be gone.
const MIN_UNREACHED_ADDRS: usize = 2;

/// The other entry hosts of the deployment, as the leader published them.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own_id: NodeId,
    centre: CentreName,
    list: EntryList,
    excluded_until: BTreeMap<NodeId, Time>,
    /// What an entry host did not reach since it last reached a process of the service.
    unreached: BTreeMap<(NodeId, ServiceName), Unreached>,
    rng: Rng,
}

/// Addresses of a service that an entry host did not reach.
#[derive(Clone, Debug)]
struct Unreached {
    addrs: BTreeSet<SocketAddr>,
    until: Time,
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
            unreached: BTreeMap::new(),
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
        self.unreached.retain(|_, unreached| now < unreached.until);
        let is_fit = |entry: &&EntryReport| {
            entry.node != self.own_id
                && !entry.is_leaving
                && !entry.cut_from.contains(service)
                && !avoid.contains(&entry.node)
                && !self.excluded_until.contains_key(&entry.node)
        };
        let mut fit: Vec<&EntryReport> = self.list.items.iter().filter(is_fit).collect();
        let reaches_some = |entry: &&EntryReport| !self.reaches_none(entry.node, service);
        if fit.iter().any(reaches_some) {
            fit.retain(reaches_some);
        }
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

    /// Records that an entry host did not reach an address of a service.
    pub fn record_unreachable(
        &mut self,
        node: NodeId,
        service: &ServiceName,
        addr: SocketAddr,
        now: Time,
    ) {
        let key = (node, service.clone());
        let unreached = self.unreached.entry(key).or_insert_with(|| Unreached {
            addrs: BTreeSet::new(),
            until: now,
        });
        unreached.addrs.insert(addr);
        unreached.until = now + FAILURE_EXCLUSION;
    }

    /// Records that an entry host reached a process of a service.
    pub fn record_reached(&mut self, node: NodeId, service: &ServiceName) {
        self.unreached.remove(&(node, service.clone()));
    }

    fn reaches_none(&self, node: NodeId, service: &ServiceName) -> bool {
        let unreached = self.unreached.get(&(node, service.clone()));
        unreached.is_some_and(|unreached| MIN_UNREACHED_ADDRS <= unreached.addrs.len())
    }
}
