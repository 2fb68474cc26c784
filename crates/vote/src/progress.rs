//! The state of replication to a member.

use crate::Index;
use crate::SendStamp;
use crate::Snapshot;
use crate::Trust;
use base::DiskId;
use base::Time;

/// How far a member's log follows the leader's, as far as the leader knows.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) disk: DiskId,
    /// The member's log equals the leader's up to this index and is on disk.
    pub(crate) matched: Index,
    /// The index of the next entry to send.
    pub(crate) next: Index,
    /// The one message with entries or a snapshot chunk that is under way.
    pub(crate) in_flight: Option<InFlight>,
    pub(crate) transfer: Option<SnapshotTransfer>,
    /// The stamp of the latest message that the member has answered.
    pub(crate) last_answered: SendStamp,
    /// Since when the member is silent, if it answers nothing.
    pub(crate) expected_since: Time,
    pub(crate) trust: Trust,
}

/// A message with entries or a snapshot chunk that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    /// The last index among the message's entries or in the snapshot.
    pub(crate) up_to: Index,
    pub(crate) sent_at: Time,
}

/// A snapshot that is being transferred to a member.
#[derive(Debug)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Snapshot,
    pub(crate) arrived_bytes: u64,
}

impl Progress {
    pub(crate) fn new(disk: DiskId, next: Index, expected_since: Time) -> Self {
        Self {
            disk,
            matched: Index::default(),
            next,
            in_flight: None,
            transfer: None,
            last_answered: SendStamp::default(),
            expected_since,
            trust: Trust::Trusted,
        }
    }

    /// Since when the member has been silent.
    pub(crate) fn silent_since(&self) -> Time {
        self.last_answered.sent.max(self.expected_since)
    }

    /// Records that the member's log equals the leader's up to this index.
    pub(crate) fn record_match(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        self.in_flight = self
            .in_flight
            .filter(|in_flight| self.matched < in_flight.up_to);
        let arrived = |t: &SnapshotTransfer| t.snapshot.last_included.index <= index;
        if self.transfer.as_ref().is_some_and(arrived) {
            self.transfer = None;
            self.in_flight = None;
        }
    }

    /// Goes back to where the member says that the logs may still be equal.
    pub(crate) fn rewind_to(&mut self, next: Index) {
        self.next = next.min(self.next).max(self.matched.next());
        self.in_flight = None;
    }
}
