//! The newest word of each upstream.
//!
//! What one process says is ordered by its life and its number. Of two that claim one
//! address, the one with the later life holds it. Nobody is removed for silence alone:
//! a process that is silent here may still serve elsewhere. It is forgotten after a
//! long time, or when it says that it is gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Announcement;
use base::Incarnation;
use base::Time;
use base::UpstreamId;

/// A process that is silent this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Processes that are remembered, whatever is announced.
const MAX_ENTRIES: usize = 20_000;

/// Counts the changes of one roster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// It changed something.
    Changed,
    /// It said nothing new, but was said later.
    Refreshed,
    /// Something newer is known.
    Ignored,
}

/// What is known of one process.
#[derive(Clone, Debug)]
pub struct RosterEntry {
    /// What it said last.
    pub announcement: Announcement,
    /// When that was heard.
    pub heard_at: Time,
    /// It has said that it is gone.
    pub is_gone: bool,
    /// The change that last touched it.
    pub revision: Revision,
}

/// One change of a roster, for those who follow it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterChange {
    /// A process says something new.
    #[serde(rename = "Says")]
    Announced(Announcement),
    /// A process is gone.
    Gone {
        /// The process.
        id: UpstreamId,
        /// The life that ended.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
}

/// The newest word of each upstream.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: BTreeMap<UpstreamId, RosterEntry>,
    by_addr: BTreeMap<SocketAddr, UpstreamId>,
    revision: Revision,
}

impl Roster {
    /// Takes what a process says.
    pub fn record_announcement(&mut self, said: Announcement, now: Time) -> UpdateOutcome {
        let known = self.entries.get(&said.id);
        if known.is_some_and(|known| !is_newer(known, &said)) {
            return UpdateOutcome::Ignored;
        }
        if known.is_none() && MAX_ENTRIES <= self.entries.len() {
            return UpdateOutcome::Ignored;
        }
        if self.is_outlived_at_its_address(&said) {
            return UpdateOutcome::Ignored;
        }
        let same =
            known.is_some_and(|known| !known.is_gone && known.announcement.has_same_state(&said));
        if same {
            if let Some(entry) = self.entries.get_mut(&said.id) {
                entry.announcement = said;
                entry.heard_at = now;
            }
            return UpdateOutcome::Refreshed;
        }
        self.by_addr.insert(said.addr, said.id.clone());
        let entry = RosterEntry {
            heard_at: now,
            is_gone: false,
            revision: self.next_revision(),
            announcement: said,
        };
        self.entries.insert(entry.announcement.id.clone(), entry);
        UpdateOutcome::Changed
    }

    /// Takes that a process is gone. Without a life, the one that is known.
    pub fn record_departure(
        &mut self,
        id: &UpstreamId,
        life: Option<Incarnation>,
        now: Time,
    ) -> UpdateOutcome {
        let revision = self.revision.0 + 1;
        let Some(entry) = self.entries.get_mut(id) else {
            return UpdateOutcome::Ignored;
        };
        if life.is_some_and(|life| life != entry.announcement.incarnation) || entry.is_gone {
            return UpdateOutcome::Ignored;
        }
        entry.is_gone = true;
        entry.heard_at = now;
        entry.revision = Revision(revision);
        self.revision = Revision(revision);
        UpdateOutcome::Changed
    }

    /// Forgets who was silent for long.
    pub fn remove_silent(&mut self, now: Time) {
        self.entries
            .retain(|_, entry| now.since(entry.heard_at) < FORGET_AFTER);
        let entries = &self.entries;
        self.by_addr.retain(|_, id| entries.contains_key(id));
    }

    /// What is known of a process that has not said that it is gone.
    pub fn get(&self, id: &UpstreamId) -> Option<&RosterEntry> {
        self.entries.get(id).filter(|entry| !entry.is_gone)
    }

    /// All processes that have not said that they are gone.
    pub fn present(&self) -> impl Iterator<Item = &RosterEntry> {
        self.entries.values().filter(|entry| !entry.is_gone)
    }

    /// The number of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// What changed after `since`.
    pub fn changes_since(&self, since: Revision) -> Vec<RosterChange> {
        let changed = self.entries.values().filter(|e| since < e.revision);
        changed
            .map(|entry| match entry.is_gone {
                false => RosterChange::Announced(entry.announcement.clone()),
                true => RosterChange::Gone {
                    id: entry.announcement.id.clone(),
                    incarnation: entry.announcement.incarnation,
                },
            })
            .collect()
    }

    /// Takes a change of another roster.
    pub fn apply_change(&mut self, change: RosterChange, now: Time) -> UpdateOutcome {
        match change {
            RosterChange::Announced(said) => self.record_announcement(said, now),
            RosterChange::Gone { id, incarnation } => {
                self.record_departure(&id, Some(incarnation), now)
            }
        }
    }

    fn is_outlived_at_its_address(&self, said: &Announcement) -> bool {
        let holder = self.by_addr.get(&said.addr).filter(|id| **id != said.id);
        let holder = holder.and_then(|id| self.entries.get(id));
        holder.is_some_and(|holder| said.incarnation < holder.announcement.incarnation)
    }

    fn next_revision(&mut self) -> Revision {
        self.revision.0 += 1;
        self.revision
    }
}

/// Whether a process says this after what is known of it. One that has said that it is
/// gone comes back only in a later life.
fn is_newer(known: &RosterEntry, said: &Announcement) -> bool {
    let order = |a: &Announcement| (a.incarnation, a.sequence);
    match known.is_gone {
        true => known.announcement.incarnation < said.incarnation,
        false => order(&known.announcement) < order(said),
    }
}
