//! What the process around a voter offers it.

use std::path::Path;

use crate::LocalVoter;
use base::NodeId;
use vote::Outgoing;

/// Something about this voter that belongs into the log.
#[derive(Clone, Debug)]
pub enum VoterEvent<'a> {
    /// It leads.
    Leading {
        /// In this term.
        term: u64,
    },
    /// It follows another voter.
    Following {
        /// Whom.
        leader: NodeId,
    },
    /// It isn't counted.
    NotVoting {
        /// Why.
        reason: String,
    },
    /// Its disk refuses to be written.
    DiskFailed {
        /// The data folder.
        folder: &'a Path,
        /// Why.
        error: String,
    },
}

/// The process around a voter: its network, and who hears what was committed.
pub trait Environment: Clone + 'static {
    /// The voter, if this process has one.
    fn local_voter(&self) -> Option<&LocalVoter>;
    /// Sends a message to another voter. It may be lost.
    fn send(&self, outgoing: Outgoing);
    /// Hears that entries were applied.
    fn entries_applied(&self);
    /// Hears something for the log.
    fn log_event(&self, event: &VoterEvent<'_>);
}
