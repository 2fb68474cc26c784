//! Log entries, the records on disk, and snapshots.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Blob;
use crate::Group;
use crate::GroupId;
use base::NodeId;

/// A term. At most one voter leads in a term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("t{_0}")]
pub struct Term(pub u64);

impl Term {
    /// The term that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The index of an entry in the log, counted from 1. 0 is before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("#{_0}")]
pub struct Index(pub u64);

impl Index {
    /// The index that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The index before this one; 0 stays 0.
    pub fn before(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// The term and index of an entry. Of two logs, the one whose last entry has the
/// larger position is more up to date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The term of the entry.
    pub term: Term,
    /// The index of the entry.
    pub index: Index,
}

/// Where the leader appended a proposed command. The command is accepted if the
/// entry committed at this index has this term, and lost if it has another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalId {
    /// The leader's term.
    pub term: Term,
    /// The index of the command's entry.
    pub index: Index,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// The no-op entry with which a new leader begins its term.
    #[serde(rename = "Nothing")]
    Noop,
    /// The members that are in force from this entry on.
    Group(Group),
    /// A command of the application.
    Command(Blob),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The index of the entry.
    pub index: Index,
    /// The content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// The term and index of the entry.
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }

    /// The approximate size of the entry in bytes.
    pub fn bytes(&self) -> usize {
        const HEADER_BYTES: usize = 24;
        const MEMBER_BYTES: usize = 16;
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Group(group) => group.members.len() * MEMBER_BYTES,
            Payload::Command(command) => command.len(),
        };
        HEADER_BYTES + payload
    }
}

/// A record on a voter's disk. Records are replayed in the order of writing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The disk belongs to this group for good.
    Bound(GroupId),
    /// The voter's latest term and the vote it gave in it.
    #[serde(rename = "Promise")]
    TermAndVote {
        /// The latest term.
        term: Term,
        /// The node that got the vote.
        vote: Option<NodeId>,
    },
    /// An entry. It replaces the entry at its index and all later ones.
    Entry(Entry),
    /// The disk has lost entries that it had acknowledged.
    Distrusted,
}

/// A state that stands in for all entries up to a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position of the last entry that the state contains.
    #[serde(rename = "at")]
    pub last_included: Position,
    /// The members as of that entry.
    pub group: Group,
    /// The application's state.
    pub state: Blob,
}

/// What a voter's disk held when it was opened.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// All records after the snapshot.
    pub records: Vec<Record>,
}
