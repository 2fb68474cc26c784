//! Remembers which replica probably caches a prompt's prefix.

use std::collections::BTreeMap;

use base::ReplicaId;

/// A bounded memory of prefixes. The oldest is forgotten first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Prefixes {
    places: BTreeMap<u64, (u64, ReplicaId)>,
    order: BTreeMap<u64, u64>,
    clock: u64,
}

impl Prefixes {
    pub fn get(&self, prefix: u64) -> Option<ReplicaId> {
        self.places.get(&prefix).map(|(_, replica)| *replica)
    }

    pub fn put(&mut self, prefix: u64, replica: ReplicaId, limit: usize) {
        self.clock += 1;
        if let Some((before, _)) = self.places.insert(prefix, (self.clock, replica)) {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, prefix);
        if limit < self.places.len()
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.places.remove(&oldest);
        }
    }

    pub fn remove(&mut self, prefix: u64, replica: ReplicaId) {
        if self.get(prefix) == Some(replica)
            && let Some((at, _)) = self.places.remove(&prefix)
        {
            self.order.remove(&at);
        }
    }
}
