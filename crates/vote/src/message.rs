//! Messages between voters.

use serde::Deserialize;
use serde::Serialize;

use crate::Blob;
use crate::Entry;
use crate::Group;
use crate::GroupId;
use crate::Index;
use crate::Position;
use crate::Term;
use base::DiskId;
use base::NodeId;
use base::Time;

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's disk.
    pub disk: DiskId,
    /// The sender's group, none if it has none yet.
    pub group: Option<GroupId>,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// I have an empty disk and belong to no group.
    Hello {
        /// The receiver's disk as far as the sender has met it.
        #[serde(rename = "met")]
        seen: Option<DiskId>,
    },
    /// Your disk is a member of this group.
    Invite {
        /// The disk that is meant.
        disk: DiskId,
        /// The first entry of the log, if it is still there.
        #[serde(rename = "first")]
        first_entry: Option<Entry>,
    },
    /// I belong to the group now.
    Joined,
    /// You cannot take part.
    #[serde(rename = "Notice")]
    Rejected {
        /// The entry that named the members the sender knows.
        since: Index,
        /// Why.
        #[serde(rename = "notice")]
        reason: Rejection,
    },
    /// Vote for me.
    #[serde(rename = "Ask")]
    RequestVote(RequestVote),
    /// An answer to that.
    #[serde(rename = "Ballot")]
    VoteReply(VoteReply),
    /// Stand at once: I do not lead any more.
    HandOver {
        /// The term in which the sender led.
        term: Term,
    },
    /// Entries, or a heartbeat if there are none.
    Append(AppendEntries),
    /// A piece of a snapshot.
    Install(InstallSnapshot),
    /// An answer to either.
    Ack(Ack),
    /// A node without a seat said hello to the sender, a member that does not lead.
    #[serde(rename = "Stranger")]
    NonMember {
        /// The node.
        node: NodeId,
        /// Its disk.
        disk: DiskId,
    },
}

/// Why a node cannot take part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// A group exists and the node is no member.
    NotMember,
    /// The node is a member with another disk.
    OtherDisk(DiskId),
    /// The disk had acknowledged entries up to this one and has lost some.
    RolledBack(Index),
}

/// The phase of an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ElectionPhase {
    /// Would you vote for me? Binds nobody.
    #[serde(rename = "Before")]
    PreVote,
    /// Vote for me.
    #[serde(rename = "Real")]
    Vote,
}

/// Why a voter asks for votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ElectionReason {
    /// It has not heard a leader.
    #[serde(rename = "Silence")]
    ElectionTimeout,
    /// The leader of the term before has handed over to it.
    HandOver,
}

/// A request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestVote {
    /// The phase.
    pub phase: ElectionPhase,
    /// Why.
    pub reason: ElectionReason,
    /// The term in which the sender would lead.
    pub term: Term,
    /// The sender's last entry.
    pub last: Position,
    /// What the receiver's disk has at least, as the sender knows.
    #[serde(rename = "floor")]
    pub acked: AckedIndex,
}

/// Whether a vote was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum VoteAnswer {
    /// It was.
    Granted,
    /// It was not.
    Refused,
}

/// An answer to a request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// The phase.
    pub phase: ElectionPhase,
    /// The term asked for if the vote was given, else the voter's term.
    pub term: Term,
    /// The answer.
    pub answer: VoteAnswer,
}

/// Marks when the leader sent something. Its answer gives it back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SendStamp {
    /// Counts the leader's messages.
    pub round: u64,
    /// The leader's clock.
    pub sent: Time,
}

/// What a disk has at least: it acknowledged committed entries up to here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AckedIndex {
    /// The node.
    pub node: NodeId,
    /// Its disk.
    pub disk: DiskId,
    /// The index.
    pub index: Index,
}

/// Entries for a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// The leader's term.
    pub term: Term,
    /// When it was sent.
    #[serde(rename = "beat")]
    pub stamp: SendStamp,
    /// The entry before the first of these.
    pub prev: Position,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Everything up to here is committed.
    pub commit: Index,
    /// What the receiver's disk has at least, and now and then every member's.
    #[serde(rename = "floors")]
    pub acked: Vec<AckedIndex>,
}

/// A piece of a snapshot for a follower that is far behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshot {
    /// The leader's term.
    pub term: Term,
    /// When it was sent.
    #[serde(rename = "beat")]
    pub stamp: SendStamp,
    /// The last entry in the snapshot.
    #[serde(rename = "at")]
    pub last_included: Position,
    /// The members at that place.
    pub group: Group,
    /// The size of the whole state in bytes.
    #[serde(rename = "total")]
    pub total_bytes: u64,
    /// Where this piece starts.
    pub offset: u64,
    /// The piece.
    pub chunk: Blob,
}

/// What became of entries or a piece of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AckOutcome {
    /// The log equals the leader's up to here, on disk.
    Matched(Index),
    /// The entry before was another one; the leader should go on from here.
    Mismatch(Index),
    /// This many bytes of the snapshot have arrived.
    Received(u64),
    /// The sender of the entries does not lead any more.
    OldTerm,
    /// The follower's disk has lost entries: it does not count.
    Distrusted,
}

/// A follower's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The follower's term.
    pub term: Term,
    /// Which message it answers.
    #[serde(rename = "beat")]
    pub stamp: SendStamp,
    /// What became of it.
    pub outcome: AckOutcome,
}
