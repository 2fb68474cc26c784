//! Indexes and totals over the records, which are not part of a snapshot.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::AttemptId;
use crate::LogTime;
use crate::key_record::KeyRecord;
use crate::key_record::Phase;
use base::OrderKey;
use base::OrgName;
use base::ServiceName;

/// Indexes and totals over the records.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordIndex {
    /// All records, by the end of their phase.
    pub(crate) due: BTreeSet<(LogTime, OrgName, OrderKey)>,
    /// The claimed records, by their attempt.
    pub(crate) claimed: BTreeMap<AttemptId, (OrgName, OrderKey)>,
    /// One shared copy of each service's name, to save memory.
    services: BTreeSet<ServiceName>,
    /// The size of all records in bytes.
    pub(crate) bytes: u64,
    /// The number of records.
    pub(crate) records: u64,
}

impl RecordIndex {
    /// Adds a record and returns its size in bytes.
    pub(crate) fn add(&mut self, org: &OrgName, key: &OrderKey, record: &KeyRecord) -> u64 {
        let bytes = record.size_bytes(key);
        self.due.insert((record.due, org.clone(), key.clone()));
        if record.phase == Phase::Claimed {
            let org_key = (org.clone(), key.clone());
            self.claimed.insert(record.attempt, org_key);
        }
        self.bytes += bytes;
        self.records += 1;
        bytes
    }

    /// Removes a record and returns its size in bytes.
    pub(crate) fn remove(&mut self, org: &OrgName, key: &OrderKey, record: &KeyRecord) -> u64 {
        let bytes = record.size_bytes(key);
        self.due.remove(&(record.due, org.clone(), key.clone()));
        if record.phase == Phase::Claimed {
            self.claimed.remove(&record.attempt);
        }
        self.bytes -= bytes;
        self.records -= 1;
        bytes
    }

    /// The shared copy of a service's name.
    pub(crate) fn shared_service_name(&mut self, service: &ServiceName) -> ServiceName {
        if let Some(known) = self.services.get(service) {
            return known.clone();
        }
        self.services.insert(service.clone());
        service.clone()
    }
}
