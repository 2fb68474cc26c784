//! The latest announcement of each upstream process.
//!
//! The announcements of a process are ordered by incarnation and sequence number. Of two
//! processes that claim the same address, the one with the later incarnation holds it, if its
//! service is in the configuration. An entry for another service may come from any writer: it is
//! kept, as the service may still come into the configuration, but takes no address. That a
//! process leaves is recorded whoever holds its address.
//!
//! A short silence removes no process, as one that is not heard here may still serve elsewhere. A
//! process is forgotten after a long silence, and no longer listed once it has departed. The
//! departure of a process that is not known is kept as well, because a late announcement of it may
//! still come.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Announcement;
use crate::Heartbeat;
use crate::HeartbeatOutcome;
use base::Incarnation;
use base::ServiceName;
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
    /// The update changed nothing. [`Roster::reason_to_ignore`] says why.
    Ignored,
}

/// Why an announcement is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum IgnoreReason {
    /// It is not newer than what is known of its process.
    #[display("outdated")]
    Outdated,
    /// Its process has departed.
    #[display("departed")]
    Departed,
    /// Another process with a later incarnation holds its address.
    #[display("address-taken")]
    AddressTaken,
    /// It names a service that is not in the configuration, in place of one that is.
    #[display("unknown-service")]
    UnknownService,
    /// The roster is full.
    #[display("roster-full")]
    RosterFull,
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
    /// The processes that announced each address last.
    claims: BTreeMap<SocketAddr, BTreeSet<UpstreamId>>,
    /// The services of the configuration, once there is one.
    known_services: Option<BTreeSet<ServiceName>>,
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
    /// Sets the services of the configuration in force.
    pub fn set_known_services(&mut self, services: BTreeSet<ServiceName>) {
        self.known_services = Some(services);
    }

    /// Why an announcement would be ignored, if it would be.
    pub fn reason_to_ignore(&self, announcement: &Announcement) -> Option<IgnoreReason> {
        let is_taken = !announcement.leaving && self.has_newer_holder_of_addr(announcement);
        let taken = is_taken.then_some(IgnoreReason::AddressTaken);
        self.reason_to_reject_update(announcement).or(taken)
    }

    /// Records an announcement that was heard at `heard_at`, unless a newer one is known.
    pub fn record_announcement(
        &mut self,
        announcement: Announcement,
        heard_at: Time,
    ) -> UpdateOutcome {
        match self.reason_to_ignore(&announcement) {
            Some(_) => UpdateOutcome::Ignored,
            None => self.store(announcement, heard_at),
        }
    }

    /// Why an announcement says nothing new of its process, whoever holds its address.
    fn reason_to_reject_update(&self, announcement: &Announcement) -> Option<IgnoreReason> {
        let id = &announcement.id;
        if self.has_departed_unknown(id, announcement.incarnation) {
            return Some(IgnoreReason::Departed);
        }
        let Some(known) = self.entries.get(id) else {
            let is_full = MAX_ENTRIES <= self.entries.len();
            return is_full.then_some(IgnoreReason::RosterFull);
        };
        let was_known = self.is_known_service(&known.announcement.service);
        let is_known = self.is_known_service(&announcement.service);
        if was_known && !is_known {
            return Some(IgnoreReason::UnknownService);
        }
        // The order of an entry for an unknown service may be another writer's.
        let is_foreign = !was_known && is_known && !known.has_departed;
        if is_foreign || is_newer(known, announcement) {
            return None;
        }
        Some(match known.has_departed {
            true => IgnoreReason::Departed,
            false => IgnoreReason::Outdated,
        })
    }

    fn store(&mut self, announcement: Announcement, heard_at: Time) -> UpdateOutcome {
        let known = self.entries.get(&announcement.id);
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
        self.claim_addr(&announcement);
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
        self.claims.retain(|_, ids| {
            ids.retain(|id| entries.contains_key(id));
            !ids.is_empty()
        });
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

    /// Applies a change of a roster that this one only follows. That roster has decided who holds
    /// the address, by the configuration that it knew.
    pub fn follow_change(&mut self, change: RosterChange, heard_at: Time) -> UpdateOutcome {
        match change {
            RosterChange::Announced(announcement) => {
                match self.reason_to_reject_update(&announcement) {
                    Some(_) => UpdateOutcome::Ignored,
                    None => self.store(announcement, heard_at),
                }
            }
            RosterChange::Gone { .. } => self.apply_change(change, heard_at),
        }
    }

    /// Whether another process of a known service with a later incarnation announced the address.
    fn has_newer_holder_of_addr(&self, announcement: &Announcement) -> bool {
        let claims = self.claims.get(&announcement.addr);
        let others = claims.into_iter().flatten();
        let others = others.filter(|id| **id != announcement.id);
        let mut others = others.filter_map(|id| Some(&self.entries.get(id)?.announcement));
        others.any(|other| {
            announcement.incarnation < other.incarnation && self.is_known_service(&other.service)
        })
    }

    /// Whether a service is in the configuration. Before there is one, each may come to be in it.
    fn is_known_service(&self, service: &ServiceName) -> bool {
        let known = self.known_services.as_ref();
        known.is_none_or(|known| known.contains(service))
    }

    fn claim_addr(&mut self, announcement: &Announcement) {
        let (id, addr) = (&announcement.id, announcement.addr);
        let before = self.entries.get(id).map(|known| known.announcement.addr);
        if let Some(before) = before.filter(|before| *before != addr)
            && let Some(ids) = self.claims.get_mut(&before)
        {
            ids.remove(id);
        }
        self.claims.entry(addr).or_default().insert(id.clone());
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
