//! Messages and records that have not left the voter yet.
//!
//! A message that depends on records is held until they are synced.

use std::collections::VecDeque;

use crate::Batch;
use crate::BatchId;
use crate::DiskWrite;
use crate::Message;
use crate::Outgoing;
use crate::Position;
use crate::Record;
use base::NodeId;
use base::Time;

/// Pending records and messages.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pending_records: Vec<Record>,
    pending_checkpoint: Option<DiskWrite>,
    ready: Vec<Outgoing>,
    held: VecDeque<HeldMessage>,
    unsynced: VecDeque<UnsyncedBatch>,
    last_batch: BatchId,
    synced_batch: BatchId,
    pending_entry_bytes: usize,
}

/// A message that waits until a batch is synced.
#[derive(Debug)]
struct HeldMessage {
    batch: BatchId,
    outgoing: Outgoing,
}

/// A batch that the process has taken but not synced yet.
#[derive(Debug)]
struct UnsyncedBatch {
    id: BatchId,
    taken_at: Time,
    /// The position of the last entry in the log when the batch was taken.
    last_entry: Position,
    entry_bytes: usize,
}

impl Outbox {
    pub(crate) fn add_record(&mut self, record: Record) {
        if let Record::Entry(entry) = &record {
            self.pending_entry_bytes += entry.bytes();
        }
        self.pending_records.push(record);
    }

    /// Replaces all pending records by a snapshot and the records after it.
    pub(crate) fn checkpoint(&mut self, write: DiskWrite) {
        self.pending_records.clear();
        self.pending_checkpoint = Some(write);
    }

    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        self.ready.push(Outgoing { to, message });
    }

    /// Sends a message once all records so far are synced.
    pub(crate) fn send_once_synced(&mut self, to: NodeId, message: Message) {
        let batch = self.current_batch();
        let outgoing = Outgoing { to, message };
        if batch <= self.synced_batch {
            self.ready.push(outgoing);
        } else {
            self.held.push_back(HeldMessage { batch, outgoing });
        }
    }

    /// The number of the batch that holds all records so far.
    pub(crate) fn current_batch(&self) -> BatchId {
        if self.has_pending_write() {
            BatchId(self.last_batch.0 + 1)
        } else {
            self.last_batch
        }
    }

    pub(crate) fn is_batch_synced(&self, batch: BatchId) -> bool {
        batch <= self.synced_batch
    }

    /// The size of all entries that are not synced, in bytes.
    pub(crate) fn unsynced_bytes(&self) -> usize {
        self.pending_entry_bytes
            + self
                .unsynced
                .iter()
                .map(|unsynced| unsynced.entry_bytes)
                .sum::<usize>()
    }

    /// When the oldest unsynced batch was taken.
    pub(crate) fn oldest_write_since(&self) -> Option<Time> {
        self.unsynced.front().map(|unsynced| unsynced.taken_at)
    }

    pub(crate) fn take_messages(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.ready)
    }

    pub(crate) fn take_batch(&mut self, last_entry: Position, now: Time) -> Option<Batch> {
        if !self.has_pending_write() {
            return None;
        }
        let id = self.current_batch();
        self.last_batch = id;
        self.unsynced.push_back(UnsyncedBatch {
            id,
            taken_at: now,
            last_entry,
            entry_bytes: std::mem::take(&mut self.pending_entry_bytes),
        });
        let write = self.take_write();
        Some(Batch { id, write })
    }

    fn take_write(&mut self) -> DiskWrite {
        let records = std::mem::take(&mut self.pending_records);
        let Some(DiskWrite::Checkpoint {
            snapshot,
            records: mut all,
        }) = self.pending_checkpoint.take()
        else {
            return DiskWrite::Append(records);
        };
        all.extend(records);
        DiskWrite::Checkpoint {
            snapshot,
            records: all,
        }
    }

    /// Releases the messages that waited for a batch. Returns its `last_entry`.
    pub(crate) fn mark_synced(&mut self, batch: BatchId) -> Option<Position> {
        let mut last_entry = None;
        while let Some(unsynced) = self.unsynced.front()
            && unsynced.id <= batch
        {
            last_entry = Some(unsynced.last_entry);
            self.synced_batch = unsynced.id;
            self.unsynced.pop_front();
        }
        while let Some(held) = self.held.front()
            && held.batch <= self.synced_batch
        {
            self.ready.extend(self.held.pop_front().map(|h| h.outgoing));
        }
        last_entry
    }

    fn has_pending_write(&self) -> bool {
        !self.pending_records.is_empty() || self.pending_checkpoint.is_some()
    }
}
