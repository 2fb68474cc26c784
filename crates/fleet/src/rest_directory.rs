//! The rests that upstreams asked for, and which entry hosts they asked.
//!
//! An upstream tells its rest to the machine that a request came from. Another entry host may have
//! sent the request through that machine, or may be about to lead a connection through it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Edition;
use crate::Published;
use base::Incarnation;
use base::NodeId;
use base::Time;
use base::UpstreamId;

/// The longest rest that is passed on.
const MAX_LEFT: Duration = Duration::from_secs(600);

/// The most rests that are held at once. Further ones are not passed on.
const MAX_RESTS: usize = 4_096;

/// A rest that a process asked an entry host for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskedRest {
    /// The process.
    pub process: UpstreamId,
    /// The incarnation of the process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The entry host that the request came from.
    pub entry: NodeId,
    /// How long the rest still lasts, in milliseconds.
    pub left_ms: u64,
}

/// All rests, as the leader publishes them.
pub type RestList = Published<AskedRest>;

impl AskedRest {
    /// How long the rest still lasts.
    pub fn left(&self) -> Duration {
        Duration::from_millis(self.left_ms).min(MAX_LEFT)
    }

    /// The rest as it reads after another `span`. None if it has ended.
    pub fn aged(self, span: Duration) -> Option<Self> {
        let left = self.left().checked_sub(span)?;
        let left_ms = left.as_millis() as u64;
        (0 < left_ms).then_some(Self { left_ms, ..self })
    }
}

/// Which process asked which entry host.
type Key = (UpstreamId, Incarnation, NodeId);

/// The rests, as one control host knows them.
#[derive(Clone, Debug, Default)]
pub struct RestDirectory {
    ends: BTreeMap<Key, Time>,
    term: Option<u64>,
    edition: Edition,
    is_changed: bool,
}

impl RestDirectory {
    /// The version of the list in force.
    pub fn edition(&self) -> Edition {
        self.edition
    }

    /// The list in force, as it reads at `now`.
    pub fn published(&self, now: Time) -> RestList {
        Published {
            edition: self.edition,
            items: self.known(now),
        }
    }

    /// All rests that have not ended.
    pub fn known(&self, now: Time) -> Vec<AskedRest> {
        let items = self.ends.iter().filter_map(|(key, ends_at)| {
            let left_ms = ends_at.since(now).as_millis() as u64;
            let (process, incarnation, entry) = key.clone();
            (0 < left_ms).then_some(AskedRest {
                process,
                incarnation,
                entry,
                left_ms,
            })
        });
        items.collect()
    }

    /// Takes over the list of the leader, if it is newer.
    pub fn follow(&mut self, list: RestList, now: Time) {
        if list.edition <= self.edition {
            return;
        }
        self.edition = list.edition;
        self.ends.clear();
        for rest in list.items {
            self.insert(rest, now);
        }
    }

    /// Begins or ends a term as leader. A new leader begins with the list that it followed.
    pub fn set_term(&mut self, term: Option<u64>) {
        self.is_changed |= self.term != term;
        self.term = term;
    }

    /// Records what an entry host reports.
    pub fn record(&mut self, rest: AskedRest, now: Time) {
        self.is_changed |= self.insert(rest, now);
    }

    /// Decides anew. Returns whether there is a newer list to publish.
    pub fn tick(&mut self, now: Time) -> bool {
        self.ends.retain(|_, ends_at| now < *ends_at);
        let Some(term) = self.term else {
            return false;
        };
        if !std::mem::take(&mut self.is_changed) {
            return false;
        }
        let count = match self.edition.term == term {
            true => self.edition.count + 1,
            false => 1,
        };
        self.edition = Edition { term, count };
        true
    }

    /// Returns whether the rest is new or ends later than was known.
    fn insert(&mut self, rest: AskedRest, now: Time) -> bool {
        let ends_at = now + rest.left();
        let key = (rest.process, rest.incarnation, rest.entry);
        let known = self.ends.get(&key).copied();
        let has_room = known.is_some() || self.ends.len() < MAX_RESTS;
        let is_later = known.is_none_or(|known| known < ends_at);
        if has_room && is_later {
            self.ends.insert(key, ends_at);
        }
        has_room && is_later
    }
}
