//! A voter's role, with the state that the role needs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::BatchId;
use crate::ElectionPhase;
use crate::Index;
use crate::progress::Progress;
use crate::read::PendingRead;
use base::NodeId;
use base::Time;

/// The role of a voter, with the state that only this role needs.
#[derive(Debug)]
pub(crate) enum RoleState {
    Follower { leader: Option<NodeId> },
    Candidate(Candidate),
    Leader(Leader),
}

/// The state of a voter that asks for votes.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) phase: ElectionPhase,
    /// The nodes that voted for the candidate, without the candidate itself.
    pub(crate) votes: BTreeSet<NodeId>,
    /// The batch with the record of the candidate's own vote.
    pub(crate) own_vote_batch: BatchId,
}

/// When the leader last told the members what their disks have acknowledged.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AckedBroadcast {
    /// The commit index at that time.
    pub(crate) commit: Index,
    /// When to tell the members again, even if nothing has changed.
    pub(crate) due: Time,
}

/// The state of a voter that leads.
#[derive(Debug)]
pub(crate) struct Leader {
    /// The leader's first entry. Once it is committed, all earlier ones are.
    pub(crate) first_index: Index,
    pub(crate) elected_at: Time,
    /// When the leader last changed the members, or was elected.
    pub(crate) members_since: Time,
    /// The number of messages sent, by which an ack identifies what it answers.
    pub(crate) round: u64,
    /// The value of `round` before the last heartbeats, which went to every member.
    pub(crate) heartbeat_round: u64,
    pub(crate) next_heartbeat_at: Time,
    pub(crate) progress: BTreeMap<NodeId, Progress>,
    pub(crate) reads: Vec<PendingRead>,
    pub(crate) uncommitted_bytes: usize,
    /// The members that are about to stop, and when they last said so.
    pub(crate) leaving: BTreeMap<NodeId, Time>,
    pub(crate) acked_broadcast: AckedBroadcast,
}
