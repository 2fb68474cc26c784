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
    pub(crate) flight: Option<Flight>,
    /// A snapshot under way.
    pub(crate) transfer: Option<Transfer>,
    /// The latest message that it answered.
    pub(crate) answered: SendStamp,
    pub(crate) trust: Trust,
}

/// Entries or a piece of a snapshot under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flight {
    pub(crate) upto: Index,
    pub(crate) sent: Time,
}

/// A snapshot under way.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) snapshot: Snapshot,
    /// Bytes that have arrived.
    pub(crate) arrived: u64,
}

impl Progress {
    pub(crate) fn new(disk: DiskId, next: Index) -> Self {
        Self {
            disk,
            matched: Index::default(),
            next,
            flight: None,
            transfer: None,
            answered: SendStamp::default(),
            trust: Trust::Trusted,
        }
    }

    /// Notes that the member's log equals the leader's up to here.
    pub(crate) fn match_up_to(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        self.flight = self.flight.filter(|flight| self.matched < flight.upto);
        let arrived = |t: &Transfer| t.snapshot.at.index <= index;
        if self.transfer.as_ref().is_some_and(arrived) {
            self.transfer = None;
            self.flight = None;
        }
    }

    /// Goes back to where the member says that the logs may still be equal.
    pub(crate) fn go_back(&mut self, next: Index) {
        self.next = next.min(self.next).max(self.matched.next());
        self.flight = None;
    }
}
