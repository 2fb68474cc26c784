//! What a voter does at present, with what it needs for that.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::BatchId;
use crate::ElectionPhase;
use crate::Index;
use crate::progress::Progress;
use crate::read::PendingRead;
use base::NodeId;
use base::Time;

/// What a voter does.
#[derive(Debug)]
pub(crate) enum State {
    Follower { leader: Option<NodeId> },
    Candidate(Candidate),
    Leader(Leader),
}

/// A voter that asks for votes.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) phase: ElectionPhase,
    /// Who voted for it, itself not among them.
    pub(crate) votes: BTreeSet<NodeId>,
    /// The batch that holds its own vote.
    pub(crate) own_vote_batch: BatchId,
}

/// What the members were last told of each other's disks.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AckedBroadcast {
    /// The commit that it rested on.
    pub(crate) commit: Index,
    /// When they are told again, changed or not.
    pub(crate) due: Time,
}

/// A voter that leads.
#[derive(Debug)]
pub(crate) struct Leader {
    /// Its first entry. Once that is committed, all earlier ones are.
    pub(crate) first_index: Index,
    pub(crate) elected_at: Time,
    /// Counts the messages it sent, so that an answer tells which it answers.
    pub(crate) round: u64,
    /// The count before the last heartbeats, which went to every member.
    pub(crate) heartbeat_round: u64,
    pub(crate) next_heartbeat_at: Time,
    pub(crate) progress: BTreeMap<NodeId, Progress>,
    pub(crate) reads: Vec<PendingRead>,
    /// Bytes of entries that are not committed.
    pub(crate) uncommitted_bytes: usize,
    pub(crate) acked_broadcast: AckedBroadcast,
}
