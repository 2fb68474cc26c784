//! The replicas of models that may be open.
//!
//! The controller of a deployment records a replica before it is opened, and removes the record
//! after it has ended. A controller of a later term reads them as it begins.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use base::Fence;
use fleet::RecordChanges;
use fleet::ReplicaRecord;

/// The recorded replicas by epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRegister {
    records: Arc<BTreeMap<Fence, ReplicaRecord>>,
}

impl ReplicaRegister {
    /// The records, by epoch.
    pub fn records(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.records.values()
    }

    /// Applies changes. Applied again, they change nothing.
    pub(crate) fn apply(&mut self, changes: &RecordChanges) {
        let records = Arc::make_mut(&mut self.records);
        for record in &changes.recorded {
            records.insert(record.epoch, record.clone());
        }
        for epoch in &changes.ended {
            records.remove(epoch);
        }
    }
}
