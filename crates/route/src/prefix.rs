//! Remembers which replica probably has a prompt's prefix cached.

use std::collections::BTreeMap;

use base::ReplicaId;

/// A bounded map from prefix hashes to replicas. The least recently inserted goes first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixMap {
    /// The insertion number and the replica of each prefix.
    replica_by_prefix: BTreeMap<u64, (u64, ReplicaId)>,
    prefix_by_insertion: BTreeMap<u64, u64>,
    last_insertion: u64,
}

impl PrefixMap {
    pub fn get(&self, prefix: u64) -> Option<ReplicaId> {
        self.replica_by_prefix
            .get(&prefix)
            .map(|(_, replica)| *replica)
    }

    pub fn insert(&mut self, prefix: u64, replica: ReplicaId, limit: usize) {
        self.last_insertion += 1;
        if let Some((before, _)) = self
            .replica_by_prefix
            .insert(prefix, (self.last_insertion, replica))
        {
            self.prefix_by_insertion.remove(&before);
        }
        self.prefix_by_insertion.insert(self.last_insertion, prefix);
        if limit < self.replica_by_prefix.len()
            && let Some((_, oldest)) = self.prefix_by_insertion.pop_first()
        {
            self.replica_by_prefix.remove(&oldest);
        }
    }

    pub fn remove(&mut self, prefix: u64, replica: ReplicaId) {
        if self.get(prefix) == Some(replica)
            && let Some((at, _)) = self.replica_by_prefix.remove(&prefix)
        {
            self.prefix_by_insertion.remove(&at);
        }
    }
}
