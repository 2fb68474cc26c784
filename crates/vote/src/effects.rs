//! What a voter asks the daemon to do.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Entry;
use crate::Index;
use crate::Message;
use crate::Record;
use crate::Snapshot;
use base::NodeId;

/// Numbers the batches that go to disk.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("b{_0}")]
pub struct BatchId(pub u64);

/// Numbers the reads of one voter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("read{_0}")]
pub struct ReadId(pub u64);

/// What has to be written to disk and synced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Its number, for [`crate::Voter::mark_synced`].
    pub id: BatchId,
    /// The work.
    pub write: DiskWrite,
}

/// How a batch is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskWrite {
    /// Appended to the log.
    Append(Vec<Record>),
    /// Kept in place of everything written so far.
    Checkpoint {
        /// The snapshot.
        snapshot: Snapshot,
        /// The records after it.
        records: Vec<Record>,
    },
}

/// A message and where it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}

/// What became of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadOutcome {
    /// A state that contains all entries up to here is current.
    Current(Index),
    /// The voter does not lead any more: ask the leader.
    NotLeader,
}

/// The answer to a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadAnswer {
    /// The read.
    pub id: ReadId,
    /// What became of it.
    pub outcome: ReadOutcome,
}

/// What a voter asks the daemon to do, in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Messages that may go at once.
    pub sends: Vec<Outgoing>,
    /// A state that replaces the daemon's.
    pub install: Option<Snapshot>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads that can be answered once the entries are applied.
    pub reads: Vec<ReadAnswer>,
    /// What has to be written to disk. May go on another thread.
    pub batch: Option<Batch>,
}
