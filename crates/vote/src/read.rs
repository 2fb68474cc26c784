//! Linearizable reads, and the leader's lease.
//!
//! A read is confirmed once a majority has answered a message that was sent after
//! the read began. This needs no clock. A lease lets the leader answer at once: a
//! majority has answered a message that was sent less than the lease duration ago,
//! and none of these voters votes for another leader within the longer
//! `election_timeout_min` after receiving it. This relies on clocks that keep
//! running while a process is frozen.

use crate::Index;
use crate::ProposeError;
use crate::ReadAnswer;
use crate::ReadId;
use crate::ReadOutcome;
use crate::Voter;
use crate::role::RoleState;
use base::Time;

/// What a leader may answer from its own state, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lease {
    /// The end of the lease by the process's clock.
    pub until: Time,
    /// A state that contains all entries up to this index is current.
    pub index: Index,
}

/// A read that waits to be confirmed by a majority.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    id: ReadId,
    /// A majority must answer a message with a larger round than this.
    after_round: u64,
    /// The state must contain all entries up to this index.
    index: Index,
}

impl Voter {
    /// The leader's lease, or `None` if it has expired or this voter does not lead.
    /// Call it after the last wait before an answer, as it may expire during a wait.
    pub fn lease(&self, now: Time) -> Option<Lease> {
        let RoleState::Leader(leader) = &self.state else {
            return None;
        };
        if !leader.has_committed_own_term(self.commit) || self.is_disk_stalled() {
            return None;
        }
        let now = self.now.max(now);
        let until = self.majority_acked(|stamp| stamp.sent, now) + self.cfg.timing.lease_duration;
        let index = self.commit;
        (now < until).then_some(Lease { until, index })
    }

    /// Begins a read. Its answer arrives with the effects.
    pub fn start_read(&mut self, now: Time) -> Result<ReadId, ProposeError> {
        self.advance_clock(now);
        let commit = self.commit;
        let leader = self.leader();
        let RoleState::Leader(state) = &mut self.state else {
            return Err(ProposeError::NotLeader { leader });
        };
        let id = self.next_read;
        self.next_read = ReadId(id.0 + 1);
        state.reads.push(PendingRead {
            id,
            after_round: state.round,
            index: commit.max(state.first_index),
        });
        self.confirm_reads();
        Ok(id)
    }

    /// Whether to send heartbeats for reads that wait for a message not sent yet.
    /// One round of heartbeats is under way at a time; reads that begin meanwhile
    /// share the next one.
    pub(crate) fn needs_heartbeat(&self) -> bool {
        let RoleState::Leader(leader) = &self.state else {
            return false;
        };
        let sent = |read: &PendingRead| read.after_round <= leader.heartbeat_round;
        let unsent = leader.reads.iter().any(|read| !sent(read));
        let under_way = leader.reads.iter().any(sent);
        unsent && !under_way
    }

    pub(crate) fn confirm_reads(&mut self) {
        let answered_round = self.majority_acked(|stamp| stamp.round, u64::MAX);
        let commit = self.commit;
        let RoleState::Leader(leader) = &mut self.state else {
            return;
        };
        let ready = |read: &PendingRead| read.after_round < answered_round && read.index <= commit;
        let confirmed = leader.reads.iter().filter(|read| ready(read));
        self.read_answers.extend(confirmed.map(|read| ReadAnswer {
            id: read.id,
            outcome: ReadOutcome::Current(read.index),
        }));
        leader.reads.retain(|read| !ready(read));
    }

    pub(crate) fn fail_reads(&mut self) {
        let RoleState::Leader(leader) = &mut self.state else {
            return;
        };
        let failed = leader.reads.drain(..).map(|read| ReadAnswer {
            id: read.id,
            outcome: ReadOutcome::NotLeader,
        });
        self.read_answers.extend(failed);
    }
}
