//! What the process around a voter offers it.

use std::path::Path;

use crate::Voters;
use base::NodeId;
use vote::Outgoing;

/// Something about this voter that belongs into the log.
#[derive(Clone, Debug)]
pub enum Note<'a> {
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
    Lost {
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
pub trait Edge: Clone + 'static {
    /// The voter, if this process has one.
    fn voters(&self) -> Option<&Voters>;
    /// Sends a message to another voter. It may be lost.
    fn send(&self, outgoing: Outgoing);
    /// Hears that entries were applied.
    fn applied(&self);
    /// Hears something for the log.
    fn note(&self, note: &Note<'_>);
}
