//! What the process provides to its voter.

use std::path::Path;

use crate::LocalVoter;
use base::NodeId;
use vote::Outgoing;

/// An event of the voter for the process's log.
#[derive(Clone, Debug)]
pub enum VoterEvent<'a> {
    /// The voter leads.
    Leading {
        /// The term in which it leads.
        term: u64,
    },
    /// The voter follows another voter.
    Following {
        /// The leader.
        leader: NodeId,
    },
    /// The voter does not take part in the group.
    NotVoting {
        /// Why it does not take part.
        reason: String,
    },
    /// The voter's disk could not be written.
    DiskFailed {
        /// The voter's data folder.
        folder: &'a Path,
        /// The error of the write.
        error: String,
    },
}

/// The process around a voter: its network, and what it does with applied entries.
pub trait Environment: Clone + 'static {
    /// The voter of this process, if it has one.
    fn local_voter(&self) -> Option<&LocalVoter>;
    /// Sends a message to another voter. The message may be lost.
    fn send(&self, outgoing: Outgoing);
    /// Called after committed entries were applied.
    fn entries_applied(&self);
    /// Called after a committed change of the members was applied.
    fn members_changed(&self) {}
    /// Called once the voter's disk failed. The process is to end, and to start again with what the
    /// disk holds.
    fn disk_failed(&self);
    /// Writes an event of the voter to the log.
    fn log_event(&self, event: &VoterEvent<'_>);
}
