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
pub enum Heard {
    /// It changed something.
    Changed,
    /// It said nothing new, but was said later.
    Same,
    /// Something newer is known.
    Old,
}

/// What is known of one process.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What it said last.
    pub said: Announcement,
    /// When that was heard.
    pub heard: Time,
    /// It has said that it is gone.
    pub gone: bool,
    /// The change that last touched it.
    pub revision: Revision,
}

/// One change of a roster, for those who follow it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A process says something new.
    Says(Announcement),
    /// A process is gone.
    Gone {
        /// The process.
        id: UpstreamId,
        /// The life that ended.
        life: Incarnation,
    },
}

/// The newest word of each upstream.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: BTreeMap<UpstreamId, Entry>,
    by_addr: BTreeMap<SocketAddr, UpstreamId>,
    revision: Revision,
}

impl Roster {
    /// Takes what a process says.
    pub fn hear(&mut self, said: Announcement, now: Time) -> Heard {
        let known = self.entries.get(&said.id);
        if known.is_some_and(|known| !is_newer(known, &said)) {
            return Heard::Old;
        }
        if known.is_none() && MAX_ENTRIES <= self.entries.len() {
            return Heard::Old;
        }
        if self.is_outlived_at_its_address(&said) {
            return Heard::Old;
        }
        let same = known.is_some_and(|known| !known.gone && known.said.says_same(&said));
        if same {
            if let Some(entry) = self.entries.get_mut(&said.id) {
                entry.said = said;
                entry.heard = now;
            }
            return Heard::Same;
        }
        self.by_addr.insert(said.addr, said.id.clone());
        let entry = Entry {
            heard: now,
            gone: false,
            revision: self.next_revision(),
            said,
        };
        self.entries.insert(entry.said.id.clone(), entry);
        Heard::Changed
    }

    /// Takes that a process is gone. Without a life, the one that is known.
    pub fn leave(&mut self, id: &UpstreamId, life: Option<Incarnation>, now: Time) -> Heard {
        let revision = self.revision.0 + 1;
        let Some(entry) = self.entries.get_mut(id) else {
            return Heard::Old;
        };
        if life.is_some_and(|life| life != entry.said.life) || entry.gone {
            return Heard::Old;
        }
        entry.gone = true;
        entry.heard = now;
        entry.revision = Revision(revision);
        self.revision = Revision(revision);
        Heard::Changed
    }

    /// Forgets who was silent for long.
    pub fn expire(&mut self, now: Time) {
        self.entries
            .retain(|_, entry| now.since(entry.heard) < FORGET_AFTER);
        let entries = &self.entries;
        self.by_addr.retain(|_, id| entries.contains_key(id));
    }

    /// What is known of a process that has not said that it is gone.
    pub fn get(&self, id: &UpstreamId) -> Option<&Entry> {
        self.entries.get(id).filter(|entry| !entry.gone)
    }

    /// All processes that have not said that they are gone.
    pub fn present(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| !entry.gone)
    }

    /// The number of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// What changed after `since`.
    pub fn changes(&self, since: Revision) -> Vec<Change> {
        let changed = self.entries.values().filter(|e| since < e.revision);
        changed
            .map(|entry| match entry.gone {
                false => Change::Says(entry.said.clone()),
                true => Change::Gone {
                    id: entry.said.id.clone(),
                    life: entry.said.life,
                },
            })
            .collect()
    }

    /// Takes a change of another roster.
    pub fn follow(&mut self, change: Change, now: Time) -> Heard {
        match change {
            Change::Says(said) => self.hear(said, now),
            Change::Gone { id, life } => self.leave(&id, Some(life), now),
        }
    }

    fn is_outlived_at_its_address(&self, said: &Announcement) -> bool {
        let holder = self.by_addr.get(&said.addr).filter(|id| **id != said.id);
        let holder = holder.and_then(|id| self.entries.get(id));
        holder.is_some_and(|holder| said.life < holder.said.life)
    }

    fn next_revision(&mut self) -> Revision {
        self.revision.0 += 1;
        self.revision
    }
}

/// Whether a process says this after what is known of it. One that has said that it is
/// gone comes back only in a later life.
fn is_newer(known: &Entry, said: &Announcement) -> bool {
    let order = |a: &Announcement| (a.life, a.sequence);
    match known.gone {
        true => known.said.life < said.life,
        false => order(&known.said) < order(said),
    }
}
