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

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's disk.
    pub disk: DiskId,
    /// The sender's group, or `None` if it belongs to no group yet.
    pub group: Option<GroupId>,
    /// The content of the message.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The sender has an empty disk and belongs to no group.
    Hello {
        /// The receiver's disk, if the sender has had a hello from it.
        #[serde(rename = "met")]
        seen: Option<DiskId>,
    },
    /// The receiver's disk is a member of the sender's group.
    Invite {
        /// The invited disk.
        disk: DiskId,
        /// The first entry of the log, unless it was compacted away.
        #[serde(rename = "first")]
        first_entry: Option<Entry>,
    },
    /// The sender has joined the group.
    Joined,
    /// The receiver can't take part in the group.
    #[serde(rename = "Notice")]
    Rejected {
        /// The index of the log entry with the latest members that the sender knows.
        since: Index,
        /// Why the receiver can't take part.
        #[serde(rename = "notice")]
        reason: Rejection,
    },
    /// Asks for a vote.
    #[serde(rename = "Ask")]
    RequestVote(RequestVote),
    /// Answers a [`Body::RequestVote`].
    #[serde(rename = "Ballot")]
    VoteReply(VoteReply),
    /// The sender gave up leading. The receiver should start an election at once.
    HandOver {
        /// The term in which the sender led.
        term: Term,
    },
    /// Entries for the log, or a heartbeat if there are none.
    Append(AppendEntries),
    /// A chunk of a snapshot.
    Install(InstallSnapshot),
    /// Answers a [`Body::Append`] or a [`Body::Install`].
    Ack(Ack),
    /// Tells the leader that a node outside the group said hello.
    #[serde(rename = "Stranger")]
    NonMember {
        /// The node outside the group.
        node: NodeId,
        /// The disk of that node.
        disk: DiskId,
    },
}

/// Why a node can't take part in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// A group exists and the node is not a member.
    NotMember,
    /// The node is a member with this other disk.
    OtherDisk(DiskId),
    /// The disk has lost entries: it had acknowledged all up to this index.
    RolledBack(Index),
}

/// The phase of an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ElectionPhase {
    /// Asks whether the receiver would vote for the sender. The answer binds nobody.
    #[serde(rename = "Before")]
    PreVote,
    /// Asks for the vote itself.
    #[serde(rename = "Real")]
    Vote,
}

/// Why a voter started an election.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ElectionReason {
    /// The voter has not heard from a leader for its election timeout.
    #[serde(rename = "Silence")]
    ElectionTimeout,
    /// The leader of the previous term handed leadership over to this voter.
    HandOver,
}

/// A request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestVote {
    /// The phase of the election.
    pub phase: ElectionPhase,
    /// Why the sender started the election.
    pub reason: ElectionReason,
    /// The term in which the sender would lead.
    pub term: Term,
    /// The position of the sender's last entry.
    pub last: Position,
    /// What the receiver's disk has acknowledged, as far as the sender knows.
    #[serde(rename = "floor")]
    pub acked: AckedIndex,
}

/// Whether a vote was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum VoteAnswer {
    /// The vote was granted.
    Granted,
    /// The vote was refused.
    Refused,
}

/// The reply to a request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// The phase of the election.
    pub phase: ElectionPhase,
    /// The requested term if granted, otherwise the replying voter's term.
    pub term: Term,
    /// Whether the vote was granted.
    pub answer: VoteAnswer,
}

/// The number and the send time of a leader's message. The ack returns them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SendStamp {
    /// The number of messages the leader had sent, including this one.
    pub round: u64,
    /// The send time by the leader's clock.
    pub sent: Time,
}

/// The last committed entry that a member's disk has acknowledged. A disk whose
/// log ends before this index has lost data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AckedIndex {
    /// The member's node.
    pub node: NodeId,
    /// The member's disk.
    pub disk: DiskId,
    /// The index of that entry.
    pub index: Index,
}

/// A member that has not answered its leader for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentMember {
    /// The member's node.
    pub node: NodeId,
    /// How long it has been silent, in milliseconds.
    pub silent_ms: u64,
}

/// Entries that a leader sends to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// The leader's term.
    pub term: Term,
    /// The number and the send time of the message.
    #[serde(rename = "beat")]
    pub stamp: SendStamp,
    /// The position of the entry before the first of `entries`.
    pub prev: Position,
    /// The entries, empty for a heartbeat.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: Index,
    /// What the receiver's disk, or in some heartbeats every disk, acknowledged.
    #[serde(rename = "floors")]
    pub acked: Vec<AckedIndex>,
    /// The members that answer nothing. Earlier releases don't tell.
    #[serde(default)]
    pub silent: Vec<SilentMember>,
}

/// A chunk of a snapshot, for a follower that needs compacted entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshot {
    /// The leader's term.
    pub term: Term,
    /// The number and the send time of the message.
    #[serde(rename = "beat")]
    pub stamp: SendStamp,
    /// The position of the last entry in the snapshot.
    #[serde(rename = "at")]
    pub last_included: Position,
    /// The members as of that entry.
    pub group: Group,
    /// The size of the whole state in bytes.
    #[serde(rename = "total")]
    pub total_bytes: u64,
    /// Where the chunk starts in the state, in bytes.
    pub offset: u64,
    /// The bytes of the chunk.
    pub chunk: Blob,
}

/// What a follower did with a message of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AckOutcome {
    /// The follower's log equals the leader's up to this index and is on disk.
    Matched(Index),
    /// The preceding entry differs or is missing; continue from this index.
    Mismatch(Index),
    /// The follower has received this many bytes of the snapshot.
    Received(u64),
    /// The sender's term is over, so it no longer leads.
    OldTerm,
    /// The follower counts towards no majority, because its disk has lost entries.
    Distrusted,
}

/// A follower's answer to a message of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The follower's term.
    pub term: Term,
    /// The stamp of the message that is answered.
    #[serde(rename = "beat")]
    pub stamp: SendStamp,
    /// What the follower did with the message.
    pub outcome: AckOutcome,
}
