//! What follows from the records and is rebuilt with them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::AttemptId;
use crate::LogTime;
use crate::entry::Entry;
use crate::entry::Phase;
use base::OrderKey;
use base::OrgName;
use base::ServiceName;

/// What follows from the records.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    /// When the phase of each record ends.
    pub(crate) due: BTreeSet<(LogTime, OrgName, OrderKey)>,
    /// The records that are claimed.
    pub(crate) claimed: BTreeMap<AttemptId, (OrgName, OrderKey)>,
    /// One copy of each service's name.
    services: BTreeSet<ServiceName>,
    /// Bytes of all records.
    pub(crate) bytes: u64,
    /// The number of records.
    pub(crate) records: u64,
}

impl Index {
    /// Adds a record and gives its bytes.
    pub(crate) fn add(&mut self, org: &OrgName, key: &OrderKey, entry: &Entry) -> u64 {
        let bytes = entry.bytes(key);
        self.due.insert((entry.due, org.clone(), key.clone()));
        if entry.phase == Phase::Claimed {
            let place = (org.clone(), key.clone());
            self.claimed.insert(entry.attempt, place);
        }
        self.bytes += bytes;
        self.records += 1;
        bytes
    }

    /// Removes a record and gives its bytes.
    pub(crate) fn remove(&mut self, org: &OrgName, key: &OrderKey, entry: &Entry) -> u64 {
        let bytes = entry.bytes(key);
        self.due.remove(&(entry.due, org.clone(), key.clone()));
        if entry.phase == Phase::Claimed {
            self.claimed.remove(&entry.attempt);
        }
        self.bytes -= bytes;
        self.records -= 1;
        bytes
    }

    /// The one copy of a service's name.
    pub(crate) fn service(&mut self, service: &ServiceName) -> ServiceName {
        if let Some(known) = self.services.get(service) {
            return known.clone();
        }
        self.services.insert(service.clone());
        service.clone()
    }
}
