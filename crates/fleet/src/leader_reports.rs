//! What a control host reports to the leader of the upstreams that announce themselves to it.
//!
//! The leader gets a state whole. Once it has taken it, heartbeats that name this announcement
//! repeat it. If the leader doesn't hold the announcement that a heartbeat names, it says so and
//! gets the state whole again. Another leader gets all states whole at once.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Announcement;
use crate::Heartbeat;
use crate::RosterChange;
use crate::UpdateOutcome;
use crate::roster::FORGET_AFTER;
use base::Incarnation;
use base::NodeId;
use base::Time;
use base::UpstreamId;

/// Largest number of changes that one call carries.
const MAX_CHANGES_PER_BATCH: usize = 500;

/// What is sent to the leader in one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportBatch {
    /// New announcements and departures.
    pub changes: Vec<RosterChange>,
    /// How long ago each change was heard, in milliseconds.
    pub heard_ms_ago: Vec<u64>,
    /// Announcements that only repeat an earlier one.
    pub heartbeats: Vec<Heartbeat>,
}

impl ReportBatch {
    /// Whether there are departures among the changes.
    pub fn has_departures(&self) -> bool {
        self.changes.iter().any(RosterChange::is_departure)
    }

    /// The changes, with the time at which the sender heard each.
    pub fn changes_heard(&self, now: Time) -> impl Iterator<Item = (&RosterChange, Time)> {
        let heard_at = heard_times(&self.heard_ms_ago, now);
        self.changes.iter().zip(heard_at)
    }
}

/// The times at which a sender heard changes, from how many milliseconds ago it did. Changes
/// beyond those of which this is given were heard now.
pub fn heard_times(ms_ago: &[u64], now: Time) -> impl Iterator<Item = Time> {
    let given = ms_ago.iter().copied();
    let ms_ago = given.chain(std::iter::repeat(0));
    ms_ago.map(move |ms_ago| now - Duration::from_millis(ms_ago))
}

/// The milliseconds since `heard_at`, rounded up: nothing counts as heard later than it was.
fn ms_since(heard_at: Time, now: Time) -> u64 {
    let micros = now.since(heard_at).as_micros().div_ceil(1_000);
    u64::try_from(micros).unwrap_or(u64::MAX)
}

/// Whether enough control hosts hold departures for them to be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeparturesHeld {
    /// The loss of as many as the deployment has to bear leaves one that holds them.
    ByEnough,
    /// Not yet.
    ByTooFew,
}

/// What the leader holds of an upstream's present state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    /// Nothing, as far as is known here.
    Nothing,
    /// The whole announcement with this sequence number.
    Whole(u64),
    /// The departure.
    Departure,
}

/// The last thing that an upstream told this control host.
#[derive(Clone, Debug)]
struct Heard {
    latest: RosterChange,
    heard_at: Time,
    told: Told,
    /// Whether the leader has not taken the latest announcement yet.
    is_due: bool,
}

/// What the leader holds, and is still to be told, of the upstreams that announce themselves to
/// this control host.
#[derive(Clone, Debug, Default)]
pub struct LeaderReports {
    heard: BTreeMap<UpstreamId, Heard>,
    /// The leader that `heard` tells of.
    leader: Option<NodeId>,
}

impl LeaderReports {
    /// Records an announcement that an upstream made to this control host, and its effect on
    /// this control host's roster.
    pub fn record_announcement(
        &mut self,
        announcement: &Announcement,
        outcome: UpdateOutcome,
        now: Time,
    ) {
        if outcome == UpdateOutcome::Ignored {
            return;
        }
        let known = self.heard.get(&announcement.id);
        let known = known.filter(|known| known.has_state_of(announcement));
        let heard = Heard {
            latest: RosterChange::Announced(announcement.clone()),
            heard_at: now,
            told: known.map_or(Told::Nothing, |known| known.told),
            is_due: true,
        };
        self.heard.insert(announcement.id.clone(), heard);
    }

    /// Records that an upstream told this control host that it departs.
    pub fn record_departure(&mut self, id: &UpstreamId, incarnation: Incarnation, now: Time) {
        let heard = Heard {
            latest: RosterChange::Gone {
                id: id.clone(),
                incarnation,
            },
            heard_at: now,
            told: Told::Nothing,
            is_due: true,
        };
        self.heard.insert(id.clone(), heard);
    }

    /// Records a departure that this control host knows of, for a new leader that may not.
    pub fn record_known_departure(&mut self, change: RosterChange, heard_at: Time) {
        let heard = Heard {
            latest: change,
            heard_at,
            told: Told::Nothing,
            is_due: true,
        };
        let id = heard.latest.id().clone();
        self.heard.entry(id).or_insert(heard);
    }

    /// Whether the leader holds the latest state of an upstream, as far as it came to this control
    /// host.
    pub fn is_reported(&self, id: &UpstreamId) -> bool {
        let heard = self.heard.get(id);
        heard.is_none_or(|heard| heard.told != Told::Nothing)
    }

    /// Records that another control host heard a later state of an upstream, and so reports it.
    pub fn record_heard_elsewhere(&mut self, id: &UpstreamId) {
        self.heard.remove(id);
    }

    /// Forgets the upstreams that have been silent here for long.
    pub fn remove_silent(&mut self, now: Time) {
        self.heard
            .retain(|_, heard| now.since(heard.heard_at) < FORGET_AFTER);
    }

    /// What to send to a leader now.
    pub fn next_batch(&mut self, leader: NodeId, now: Time) -> ReportBatch {
        self.remove_silent(now);
        self.set_leader(leader);
        let mut batch = ReportBatch::default();
        for heard in self.heard.values().filter(|heard| heard.is_due) {
            match heard.heartbeat(now) {
                Some(heartbeat) => batch.heartbeats.push(heartbeat),
                None if batch.changes.len() < MAX_CHANGES_PER_BATCH => {
                    batch.changes.push(heard.latest.clone());
                    batch.heard_ms_ago.push(ms_since(heard.heard_at, now));
                }
                None => {}
            }
        }
        batch
    }

    /// Records that the leader took a batch, of which processes it lacks the state, and whether
    /// enough control hosts hold the departures in it. Otherwise these stay due.
    pub fn record_taken(
        &mut self,
        batch: &ReportBatch,
        lacking: &[UpstreamId],
        departures: DeparturesHeld,
    ) {
        for change in &batch.changes {
            let is_held = !change.is_departure() || departures == DeparturesHeld::ByEnough;
            if is_held && let Some(heard) = self.heard.get_mut(change.id()) {
                heard.record_change_taken(change);
            }
        }
        for heartbeat in &batch.heartbeats {
            if let Some(heard) = self.heard.get_mut(&heartbeat.id) {
                heard.is_due &= !heard.is_in(heartbeat);
            }
        }
        for id in lacking {
            if let Some(heard) = self.heard.get_mut(id) {
                heard.forget_told();
            }
        }
    }

    /// The leader has started again, or another one leads. It is told everything again.
    pub fn forget_leader(&mut self) {
        self.leader = None;
    }

    /// Sets the leader that is told. Another one than before is told everything again.
    fn set_leader(&mut self, leader: NodeId) {
        if self.leader == Some(leader) {
            return;
        }
        self.leader = Some(leader);
        for heard in self.heard.values_mut() {
            heard.forget_told();
        }
    }

    /// Whether changes wait to be sent.
    pub fn has_unsent_changes(&self) -> bool {
        let mut heard = self.heard.values();
        heard.any(|heard| heard.is_due && heard.told == Told::Nothing)
    }
}

impl Heard {
    /// The heartbeat that suffices for a leader that holds the present state.
    fn heartbeat(&self, now: Time) -> Option<Heartbeat> {
        match (&self.latest, self.told) {
            (RosterChange::Announced(latest), Told::Whole(repeats)) => Some(Heartbeat {
                id: latest.id.clone(),
                incarnation: latest.incarnation,
                sequence: latest.sequence,
                repeats: Some(repeats),
                heard_ms_ago: ms_since(self.heard_at, now),
            }),
            _ => None,
        }
    }

    /// Whether a heartbeat stands for the latest announcement.
    fn is_in(&self, heartbeat: &Heartbeat) -> bool {
        match &self.latest {
            RosterChange::Announced(latest) => {
                let sent = (heartbeat.incarnation, heartbeat.sequence);
                sent == (latest.incarnation, latest.sequence)
            }
            RosterChange::Gone { .. } => false,
        }
    }

    fn has_state_of(&self, announcement: &Announcement) -> bool {
        match &self.latest {
            RosterChange::Announced(latest) => latest.has_same_state(announcement),
            RosterChange::Gone { .. } => false,
        }
    }

    /// Records that the leader took a change, which may no longer be the latest.
    fn record_change_taken(&mut self, taken: &RosterChange) {
        match (taken, &self.latest) {
            (RosterChange::Announced(taken), RosterChange::Announced(latest))
                if latest.has_same_state(taken) =>
            {
                self.told = Told::Whole(taken.sequence);
                self.is_due = latest.sequence != taken.sequence;
            }
            (RosterChange::Gone { .. }, latest) if latest == taken => {
                self.told = Told::Departure;
                self.is_due = false;
            }
            _ => {}
        }
    }

    /// The leader doesn't hold the present state.
    fn forget_told(&mut self) {
        self.told = Told::Nothing;
        self.is_due = true;
    }
}
