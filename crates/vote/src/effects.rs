//! What a voter asks its process to do.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Entry;
use crate::Index;
use crate::Message;
use crate::Record;
use crate::Snapshot;
use base::NodeId;

/// The number of a batch of records for the disk.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("b{_0}")]
pub struct BatchId(pub u64);

/// The number of a read at a voter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("read{_0}")]
pub struct ReadId(pub u64);

/// Records to write to disk and sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The number to pass to [`crate::Voter::mark_synced`].
    pub id: BatchId,
    /// What to write.
    pub write: DiskWrite,
}

/// A write to the log on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskWrite {
    /// Appends records to the log.
    Append(Vec<Record>),
    /// Replaces everything written so far.
    Checkpoint {
        /// The snapshot to start from.
        snapshot: Snapshot,
        /// The records after the snapshot.
        records: Vec<Record>,
    },
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadOutcome {
    /// A state that contains all entries up to this index is current.
    Current(Index),
    /// The voter no longer leads; the caller should ask the leader.
    NotLeader,
}

/// The answer to a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadAnswer {
    /// The number of the read.
    pub id: ReadId,
    /// The outcome of the read.
    pub outcome: ReadOutcome,
}

/// What the process must do for a voter, in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Messages to send at once.
    pub sends: Vec<Outgoing>,
    /// A snapshot whose state replaces the application's.
    pub install: Option<Snapshot>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads to answer once the entries are applied.
    pub reads: Vec<ReadAnswer>,
    /// A batch to write to disk and sync. This may happen on another thread.
    pub batch: Option<Batch>,
}
