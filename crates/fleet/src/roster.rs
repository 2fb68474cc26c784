//! The latest announcement of each upstream process.
//!
//! The announcements of a process are ordered by incarnation and sequence number. Of two
//! processes that claim the same address, the one with the later incarnation holds it. A short
//! silence removes no process, as one that is not heard here may still serve elsewhere. A
//! process is forgotten after a long silence, and no longer listed once it has departed. The
//! departure of a process that is not known is kept as well, because a late announcement of it may
//! still come.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Announcement;
use crate::Heartbeat;
use crate::HeartbeatOutcome;
use base::Incarnation;
use base::Time;
use base::UpstreamId;

/// A process is forgotten after it has been silent this long.
pub(crate) const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Largest number of processes in a roster. Announcements of further ones are ignored.
const MAX_ENTRIES: usize = 20_000;

/// The number of a change of a roster. Each roster counts its own changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// The effect that an update has on a roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The state of a process changed.
    Changed,
    /// A newer announcement reports the same state.
    Refreshed,
    /// The update is not newer than what is known, another process with a later incarnation
    /// holds the address, or the roster is full.
    Ignored,
}

/// What a roster holds of one process.
#[derive(Clone, Debug)]
pub struct RosterEntry {
    /// The latest announcement.
    pub announcement: Announcement,
    /// The sequence number of the last announcement of this state that arrived whole.
    pub whole_sequence: u64,
    /// When the process was last heard in this state.
    pub heard_at: Time,
    /// When the last sign of the process arrived, which may say nothing of its state.
    pub alive_at: Time,
    /// Whether the process has departed.
    pub has_departed: bool,
    /// The roster's revision at the last change of this entry.
    pub revision: Revision,
}

/// The departure of a process that this roster held no announcement of.
#[derive(Clone, Copy, Debug)]
struct UnknownDeparture {
    incarnation: Incarnation,
    heard_at: Time,
    revision: Revision,
}

/// A change of a roster, sent to processes that follow it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterChange {
    /// A process announced a new state.
    #[serde(rename = "Says")]
    Announced(Announcement),
    /// A process has departed.
    Gone {
        /// The process.
        id: UpstreamId,
        /// The incarnation that ended.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
}

/// The latest announcement of each upstream process.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: BTreeMap<UpstreamId, RosterEntry>,
    by_addr: BTreeMap<SocketAddr, UpstreamId>,
    unknown_departures: BTreeMap<UpstreamId, UnknownDeparture>,
    revision: Revision,
}

impl RosterChange {
    /// The process that the change is about.
    pub fn id(&self) -> &UpstreamId {
        match self {
            Self::Announced(announcement) => &announcement.id,
            Self::Gone { id, .. } => id,
        }
    }

    /// Whether the process takes no more requests from now on.
    pub fn is_departure(&self) -> bool {
        match self {
            Self::Announced(announcement) => announcement.leaving,
            Self::Gone { .. } => true,
        }
    }
}

impl RosterEntry {
    /// The change that tells another roster of this entry.
    fn to_change(&self) -> RosterChange {
        let announcement = &self.announcement;
        match self.has_departed {
            false => RosterChange::Announced(announcement.clone()),
            true => RosterChange::Gone {
                id: announcement.id.clone(),
                incarnation: announcement.incarnation,
            },
        }
    }
}

impl UnknownDeparture {
    fn to_change(self, id: &UpstreamId) -> RosterChange {
        RosterChange::Gone {
            id: id.clone(),
            incarnation: self.incarnation,
        }
    }
}

impl Roster {
    /// Records an announcement that was heard at `heard_at`, unless a newer one is known.
    pub fn record_announcement(
        &mut self,
        announcement: Announcement,
        heard_at: Time,
    ) -> UpdateOutcome {
        let known = self.entries.get(&announcement.id);
        if known.is_some_and(|known| !is_newer(known, &announcement)) {
            return UpdateOutcome::Ignored;
        }
        if known.is_none() && MAX_ENTRIES <= self.entries.len() {
            return UpdateOutcome::Ignored;
        }
        if self.has_departed_unknown(&announcement.id, announcement.incarnation) {
            return UpdateOutcome::Ignored;
        }
        if self.has_newer_holder_of_addr(&announcement) {
            return UpdateOutcome::Ignored;
        }
        let is_same_state = known.is_some_and(|known| {
            !known.has_departed && known.announcement.has_same_state(&announcement)
        });
        if is_same_state {
            if let Some(entry) = self.entries.get_mut(&announcement.id) {
                entry.whole_sequence = announcement.sequence;
                entry.announcement = announcement;
                entry.heard_at = heard_at;
                entry.alive_at = heard_at;
            }
            return UpdateOutcome::Refreshed;
        }
        self.unknown_departures.remove(&announcement.id);
        self.by_addr
            .insert(announcement.addr, announcement.id.clone());
        let entry = RosterEntry {
            whole_sequence: announcement.sequence,
            heard_at,
            alive_at: heard_at,
            has_departed: false,
            revision: self.next_revision(),
            announcement,
        };
        self.entries.insert(entry.announcement.id.clone(), entry);
        UpdateOutcome::Changed
    }

    /// Records a heartbeat, which counts only for the state that it repeats.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Time) -> HeartbeatOutcome {
        if self.has_departed_unknown(&heartbeat.id, heartbeat.incarnation) {
            return HeartbeatOutcome::Ignored;
        }
        let Some(entry) = self.entries.get_mut(&heartbeat.id) else {
            return HeartbeatOutcome::Lacking;
        };
        let known = &mut entry.announcement;
        let is_same_incarnation = known.incarnation == heartbeat.incarnation;
        let known_order = (known.incarnation, known.sequence);
        if (heartbeat.incarnation, heartbeat.sequence) <= known_order
            || (is_same_incarnation && entry.has_departed)
        {
            return HeartbeatOutcome::Ignored;
        }
        let heard_at = now - Duration::from_millis(heartbeat.heard_ms_ago);
        entry.alive_at = entry.alive_at.max(heard_at);
        if !is_same_incarnation || heartbeat.repeats != Some(entry.whole_sequence) {
            return HeartbeatOutcome::Lacking;
        }
        known.sequence = heartbeat.sequence;
        entry.heard_at = heard_at;
        HeartbeatOutcome::Refreshed
    }

    /// Records that an incarnation of a process has departed.
    pub fn record_departure(
        &mut self,
        id: &UpstreamId,
        incarnation: Incarnation,
        heard_at: Time,
    ) -> UpdateOutcome {
        let known = self.entries.get(id);
        match known.map(|known| known.announcement.incarnation) {
            Some(known) if known == incarnation => self.mark_departed(id, heard_at),
            Some(known) if incarnation < known => UpdateOutcome::Ignored,
            // An earlier incarnation has ended, too.
            Some(_) => {
                self.mark_departed(id, heard_at);
                self.keep_unknown_departure(id, incarnation, heard_at)
            }
            None => self.keep_unknown_departure(id, incarnation, heard_at),
        }
    }

    fn mark_departed(&mut self, id: &UpstreamId, heard_at: Time) -> UpdateOutcome {
        let revision = Revision(self.revision.0 + 1);
        let Some(entry) = self.entries.get_mut(id) else {
            return UpdateOutcome::Ignored;
        };
        if entry.has_departed {
            return UpdateOutcome::Ignored;
        }
        entry.has_departed = true;
        entry.heard_at = heard_at;
        entry.alive_at = heard_at;
        entry.revision = revision;
        self.revision = revision;
        UpdateOutcome::Changed
    }

    fn keep_unknown_departure(
        &mut self,
        id: &UpstreamId,
        incarnation: Incarnation,
        heard_at: Time,
    ) -> UpdateOutcome {
        if self.has_departed_unknown(id, incarnation)
            || MAX_ENTRIES <= self.unknown_departures.len()
        {
            return UpdateOutcome::Ignored;
        }
        let departure = UnknownDeparture {
            incarnation,
            heard_at,
            revision: self.next_revision(),
        };
        self.unknown_departures.insert(id.clone(), departure);
        UpdateOutcome::Changed
    }

    /// Whether this or a later incarnation of a process has departed that was not known.
    fn has_departed_unknown(&self, id: &UpstreamId, incarnation: Incarnation) -> bool {
        let departure = self.unknown_departures.get(id);
        departure.is_some_and(|departure| incarnation <= departure.incarnation)
    }

    /// Forgets the processes that have been silent for long.
    pub fn remove_silent(&mut self, now: Time) {
        self.entries
            .retain(|_, entry| now.since(entry.alive_at) < FORGET_AFTER);
        let entries = &self.entries;
        self.by_addr.retain(|_, id| entries.contains_key(id));
        self.unknown_departures
            .retain(|_, departure| now.since(departure.heard_at) < FORGET_AFTER);
    }

    /// The entry of a process, unless the process has departed.
    pub fn get(&self, id: &UpstreamId) -> Option<&RosterEntry> {
        self.entries.get(id).filter(|entry| !entry.has_departed)
    }

    /// The entries of all processes that have not departed.
    pub fn present_entries(&self) -> impl Iterator<Item = &RosterEntry> {
        self.entries.values().filter(|entry| !entry.has_departed)
    }

    /// The latest known incarnation of a process, which may have departed.
    pub fn latest_incarnation(&self, id: &UpstreamId) -> Option<Incarnation> {
        let entry = self.entries.get(id);
        let entry = entry.map(|entry| entry.announcement.incarnation);
        let departure = self.unknown_departures.get(id);
        entry.max(departure.map(|departure| departure.incarnation))
    }

    /// The revision of the last change of a process.
    pub fn revision_of(&self, id: &UpstreamId) -> Option<Revision> {
        let entry = self.entries.get(id).map(|entry| entry.revision);
        let departure = self.unknown_departures.get(id);
        entry.max(departure.map(|departure| departure.revision))
    }

    /// The processes that are leaving or have departed, with the times at which they were heard.
    pub fn departures(&self) -> impl Iterator<Item = (RosterChange, Time)> {
        let entries = self.entries.values();
        let entries = entries.filter(|e| e.has_departed || e.announcement.leaving);
        let known = entries.map(|entry| (entry.to_change(), entry.heard_at));
        let unknown = self.unknown_departures.iter();
        known.chain(unknown.map(|(id, departure)| (departure.to_change(id), departure.heard_at)))
    }

    /// The number of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// All changes after revision `since`.
    pub fn changes_since(&self, since: Revision) -> Vec<RosterChange> {
        let changed = self.entries.values().filter(|e| since < e.revision);
        let departures = self.unknown_departures.iter();
        let departures = departures.filter(|(_, departure)| since < departure.revision);
        changed
            .map(RosterEntry::to_change)
            .chain(departures.map(|(id, departure)| departure.to_change(id)))
            .collect()
    }

    /// Applies a change of another roster to this one, heard at `heard_at`.
    pub fn apply_change(&mut self, change: RosterChange, heard_at: Time) -> UpdateOutcome {
        match change {
            RosterChange::Announced(announcement) => {
                self.record_announcement(announcement, heard_at)
            }
            RosterChange::Gone { id, incarnation } => {
                self.record_departure(&id, incarnation, heard_at)
            }
        }
    }

    fn has_newer_holder_of_addr(&self, announcement: &Announcement) -> bool {
        let holder = self
            .by_addr
            .get(&announcement.addr)
            .filter(|id| **id != announcement.id);
        let holder = holder.and_then(|id| self.entries.get(id));
        holder.is_some_and(|holder| announcement.incarnation < holder.announcement.incarnation)
    }

    fn next_revision(&mut self) -> Revision {
        self.revision.0 += 1;
        self.revision
    }
}

/// Whether an announcement is newer than what is known of its process. A process that has
/// departed comes back only in a later incarnation.
fn is_newer(known: &RosterEntry, announcement: &Announcement) -> bool {
    let order = |a: &Announcement| (a.incarnation, a.sequence);
    match known.has_departed {
        true => known.announcement.incarnation < announcement.incarnation,
        false => order(&known.announcement) < order(announcement),
    }
}
