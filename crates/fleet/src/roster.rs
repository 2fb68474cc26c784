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
use std::time::Duration;

use crate::Announcement;
use crate::Heartbeat;
use crate::HeartbeatOutcome;
use crate::IgnoreReason;
use crate::Revision;
use crate::RosterChange;
use crate::RosterEntry;
use crate::UpdateOutcome;
use crate::address_claims::AddressClaims;
use crate::roster_entry::UnknownDeparture;
use base::Incarnation;
use base::ServiceName;
use base::Time;
use base::UpstreamId;

/// A process is forgotten after it has been silent this long.
pub(crate) const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Largest number of processes in a roster. Announcements of further ones are ignored.
const MAX_ENTRIES: usize = 20_000;

/// The latest announcement of each upstream process.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: BTreeMap<UpstreamId, RosterEntry>,
    claims: AddressClaims,
    /// The services of the configuration, once there is one.
    known_services: Option<BTreeSet<ServiceName>>,
    unknown_departures: BTreeMap<UpstreamId, UnknownDeparture>,
    revision: Revision,
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
        if is_foreign || known.is_older_than(announcement) {
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
        self.claims.retain(|id| entries.contains_key(id));
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
        let others = self.claims.others_at(announcement.addr, &announcement.id);
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
        let id = &announcement.id;
        if let Some(known) = self.entries.get(id) {
            self.claims.remove(known.announcement.addr, id);
        }
        self.claims.add(announcement.addr, id);
    }

    fn next_revision(&mut self) -> Revision {
        self.revision.0 += 1;
        self.revision
    }
}
