//! Entries of the log, records on disk, snapshots.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Blob;
use crate::Group;
use crate::GroupId;
use base::NodeId;

/// A term: at most one voter leads in it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("t{_0}")]
pub struct Term(pub u64);

impl Term {
    /// The term that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The place of an entry in the log, from one. Zero is before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("#{_0}")]
pub struct Index(pub u64);

impl Index {
    /// The index that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The index before, zero before the first.
    pub fn before(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// An entry by its term and index. Of two logs the one whose last entry has the
/// larger position is the more complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Its term.
    pub term: Term,
    /// Its index.
    pub index: Index,
}

/// The place that a proposed command was given. It is committed once the entry
/// that is committed at this index has this term; another term there means that
/// it was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalId {
    /// The leader's term.
    pub term: Term,
    /// The index.
    pub index: Index,
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A new leader's first entry.
    #[serde(rename = "Nothing")]
    Noop,
    /// The members from here on.
    Group(Group),
    /// A command of the daemon.
    Command(Blob),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that took it.
    pub term: Term,
    /// Its place.
    pub index: Index,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Its position.
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }

    /// Roughly its size in bytes.
    pub fn bytes(&self) -> usize {
        const FIXED: usize = 24;
        const SEAT: usize = 16;
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Group(group) => group.members.len() * SEAT,
            Payload::Command(command) => command.len(),
        };
        FIXED + payload
    }
}

/// One record on a voter's disk. Records are replayed in their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The disk belongs to this group for good.
    Bound(GroupId),
    /// The latest term and the vote given in it.
    #[serde(rename = "Promise")]
    TermAndVote {
        /// The term.
        term: Term,
        /// Who got the vote.
        vote: Option<NodeId>,
    },
    /// An entry. It replaces any entry at its index and all after it.
    Entry(Entry),
    /// The disk was found to have lost what it had acknowledged.
    Distrusted,
}

/// A state that stands for all entries up to a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the state contains.
    #[serde(rename = "at")]
    pub last_included: Position,
    /// The members at that place.
    pub group: Group,
    /// The daemon's state.
    pub state: Blob,
}

/// What a voter's disk held.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// All records after it.
    pub records: Vec<Record>,
}
