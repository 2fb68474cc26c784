//! How far a member has followed the leader.

use crate::Index;
use crate::SendStamp;
use crate::Snapshot;
use crate::Trust;
use base::DiskId;
use base::Time;

/// How far a member has followed, as its leader knows.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) disk: DiskId,
    /// Its log equals the leader's up to here, on its disk.
    pub(crate) matched: Index,
    /// The entry to send next.
    pub(crate) next: Index,
    /// Entries under way. There is one message of them at a time.
    pub(crate) in_flight: Option<InFlight>,
    /// A snapshot under way.
    pub(crate) transfer: Option<SnapshotTransfer>,
    /// The latest message that it answered.
    pub(crate) last_answered: SendStamp,
    pub(crate) trust: Trust,
}

/// Entries or a piece of a snapshot under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    pub(crate) up_to: Index,
    pub(crate) sent_at: Time,
}

/// A snapshot under way.
#[derive(Debug)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Snapshot,
    /// Bytes that have arrived.
    pub(crate) arrived_bytes: u64,
}

impl Progress {
    pub(crate) fn new(disk: DiskId, next: Index) -> Self {
        Self {
            disk,
            matched: Index::default(),
            next,
            in_flight: None,
            transfer: None,
            last_answered: SendStamp::default(),
            trust: Trust::Trusted,
        }
    }

    /// Notes that the member's log equals the leader's up to here.
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
