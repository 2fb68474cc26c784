//! The entry hosts of a deployment, and which upstreams they reach.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Published;
use base::CentreName;
use base::NodeId;
use base::ServiceName;
use base::Time;

/// An entry host that doesn't report itself for this long is no longer listed.
const ENTRY_TTL: Duration = Duration::from_secs(6);

/// What an entry host reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReport {
    /// The entry host.
    pub node: NodeId,
    /// Its data centre.
    pub centre: CentreName,
    /// Services of which it reaches no process directly.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub cut_from: BTreeSet<ServiceName>,
    /// Whether it is stopping.
    #[serde(default)]
    pub is_leaving: bool,
}

/// All entry hosts, as the leader publishes them.
pub type EntryList = Published<EntryReport>;

/// The entry hosts, as one control host knows them.
#[derive(Clone, Debug, Default)]
pub struct EntryDirectory {
    heard: BTreeMap<NodeId, (EntryReport, Time)>,
    term: Option<u64>,
    published: EntryList,
}

impl EntryDirectory {
    /// The list that is in force.
    pub fn published(&self) -> &EntryList {
        &self.published
    }

    /// Takes over the list of the leader, if it is newer.
    pub fn follow(&mut self, list: EntryList) {
        self.published.follow(list);
    }

    /// Begins or ends a term as leader. A new leader begins with the list that it followed.
    pub fn set_term(&mut self, term: Option<u64>, now: Time) {
        if self.term == term {
            return;
        }
        self.term = term;
        let known = self.published.items.iter().cloned();
        self.heard = known.map(|entry| (entry.node, (entry, now))).collect();
    }

    /// Records what an entry host reports.
    pub fn record(&mut self, report: EntryReport, now: Time) {
        self.heard.insert(report.node, (report, now));
    }

    /// Decides anew. Returns whether there is a newer list to publish.
    pub fn tick(&mut self, now: Time) -> bool {
        let Some(term) = self.term else {
            return false;
        };
        self.heard.retain(|_, (_, at)| now.since(*at) < ENTRY_TTL);
        let entries = self.heard.values().map(|(entry, _)| entry.clone());
        self.published.publish(term, entries.collect())
    }
}
