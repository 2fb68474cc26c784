//! What a control host reports to the leader of the upstreams that announce themselves to it.

use base::Incarnation;
use base::NodeId;
use base::Time;
use base::UpstreamId;

use crate::Announcement;
use crate::Heartbeat;
use crate::RosterChange;
use crate::UpdateOutcome;

/// Largest number of changes that are kept until they can be sent.
const MAX_UNSENT_CHANGES: usize = 1_000;

/// What is sent to the leader in one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportBatch {
    /// New announcements and departures.
    pub changes: Vec<RosterChange>,
    /// Announcements that only repeat an earlier one.
    pub heartbeats: Vec<Heartbeat>,
}

/// What is still to be reported to the leader.
#[derive(Clone, Debug, Default)]
pub struct LeaderReports {
    unsent: ReportBatch,
}

impl LeaderReports {
    /// Records an announcement that an upstream made to this control host, and its effect on
    /// this control host's roster.
    pub fn record_announcement(
        &mut self,
        announcement: &Announcement,
        outcome: UpdateOutcome,
        _now: Time,
    ) {
        match outcome {
            UpdateOutcome::Changed => self
                .unsent
                .changes
                .push(RosterChange::Announced(announcement.clone())),
            UpdateOutcome::Refreshed => self.unsent.heartbeats.push(Heartbeat {
                id: announcement.id.clone(),
                incarnation: announcement.incarnation,
                sequence: announcement.sequence,
            }),
            UpdateOutcome::Ignored => {}
        }
    }

    /// Records that an upstream told this control host that it departs.
    pub fn record_departure(&mut self, id: &UpstreamId, incarnation: Incarnation, _now: Time) {
        let id = id.clone();
        self.unsent
            .changes
            .push(RosterChange::Gone { id, incarnation });
    }

    /// Records that this control host leads.
    pub fn record_own_lead(&mut self) {
        self.unsent = ReportBatch::default();
    }

    /// Drops heartbeats that cannot be sent. They are repeated anyway.
    pub fn drop_heartbeats(&mut self) {
        self.unsent.heartbeats.clear();
    }

    /// What to send to a leader now.
    pub fn next_batch(&mut self, _leader: NodeId, _now: Time) -> ReportBatch {
        std::mem::take(&mut self.unsent)
    }

    /// Records that the leader took a batch, and of which processes it lacks the state.
    pub fn record_taken(&mut self, _batch: &ReportBatch, _lacking: &[UpstreamId]) {}

    /// Records that the leader may not have taken a batch. Heartbeats are repeated anyway.
    pub fn record_failure(&mut self, batch: ReportBatch) {
        let mut changes = batch.changes;
        changes.append(&mut self.unsent.changes);
        let excess = changes.len().saturating_sub(MAX_UNSENT_CHANGES);
        changes.drain(..excess);
        self.unsent.changes = changes;
    }
}
