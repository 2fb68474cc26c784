//! Remembers which replica probably caches a prompt's prefix.

use std::collections::BTreeMap;

use base::ReplicaId;

/// A bounded memory of prefixes. The oldest is forgotten first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixMap {
    replica_by_prefix: BTreeMap<u64, (u64, ReplicaId)>,
    prefix_by_age: BTreeMap<u64, u64>,
    last_stamp: u64,
}

impl PrefixMap {
    pub fn get(&self, prefix: u64) -> Option<ReplicaId> {
        self.replica_by_prefix
            .get(&prefix)
            .map(|(_, replica)| *replica)
    }

    pub fn insert(&mut self, prefix: u64, replica: ReplicaId, limit: usize) {
        self.last_stamp += 1;
        if let Some((before, _)) = self
            .replica_by_prefix
            .insert(prefix, (self.last_stamp, replica))
        {
            self.prefix_by_age.remove(&before);
        }
        self.prefix_by_age.insert(self.last_stamp, prefix);
        if limit < self.replica_by_prefix.len()
            && let Some((_, oldest)) = self.prefix_by_age.pop_first()
        {
            self.replica_by_prefix.remove(&oldest);
        }
    }

    pub fn remove(&mut self, prefix: u64, replica: ReplicaId) {
        if self.get(prefix) == Some(replica)
            && let Some((at, _)) = self.replica_by_prefix.remove(&prefix)
        {
            self.prefix_by_age.remove(&at);
        }
    }
}
