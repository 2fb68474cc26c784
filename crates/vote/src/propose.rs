//! Proposals: the leader takes commands and appends them to its log.

use derive_more::Display;
use derive_more::Error;

use crate::Blob;
use crate::Entry;
use crate::Payload;
use crate::ProposalId;
use crate::Voter;
use crate::role::RoleState;
use base::NodeId;
use base::Time;

/// Why a command was refused. A refused command is never committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum ProposeError {
    /// This voter does not lead.
    #[display("this voter does not lead")]
    NotLeader {
        /// The leader, if it is known.
        leader: Option<NodeId>,
    },
    /// Too many bytes wait to be committed.
    #[display("too many commands are waiting")]
    Busy,
    /// The command exceeds the size limit.
    #[display("a command of {bytes} bytes exceeds the limit of {limit}")]
    TooLarge {
        /// The size of the command in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
}

impl Voter {
    /// Takes a command if this voter leads. The command is committed once an entry
    /// with the returned term is committed at the returned index.
    pub fn propose(
        &mut self,
        command: impl Into<Blob>,
        now: Time,
    ) -> Result<ProposalId, ProposeError> {
        self.advance_clock(now);
        let command = command.into();
        let leader = self.leader();
        let RoleState::Leader(state) = &self.state else {
            return Err(ProposeError::NotLeader { leader });
        };
        let (bytes, limit) = (command.len(), self.cfg.limits.command_bytes);
        if limit < bytes {
            return Err(ProposeError::TooLarge { bytes, limit });
        }
        if self.cfg.limits.uncommitted_bytes < state.uncommitted_bytes {
            return Err(ProposeError::Busy);
        }
        Ok(self.append_as_leader(Payload::Command(command)))
    }

    /// Appends an entry of the present term.
    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> ProposalId {
        let term = self.term;
        let index = self.log.last_position().index.next();
        let entry = Entry {
            term,
            index,
            payload,
        };
        if let RoleState::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes += entry.bytes();
        }
        self.append_entry(entry);
        ProposalId { term, index }
    }
}
