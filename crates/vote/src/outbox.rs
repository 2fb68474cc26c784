//! Messages and records on their way out.
//!
//! A message that rests on records is held until these are synced.

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

/// What has not gone out yet.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    records: Vec<Record>,
    checkpoint: Option<DiskWrite>,
    ready: Vec<Outgoing>,
    held: VecDeque<Held>,
    /// Batches that were taken and are not synced.
    taken: VecDeque<Taken>,
    last: BatchId,
    synced: BatchId,
    bytes: usize,
}

#[derive(Debug)]
struct Held {
    until: BatchId,
    outgoing: Outgoing,
}

#[derive(Debug)]
struct Taken {
    id: BatchId,
    at: Time,
    /// The last entry when it was taken.
    last: Position,
    bytes: usize,
}

impl Outbox {
    pub(crate) fn record(&mut self, record: Record) {
        if let Record::Entry(entry) = &record {
            self.bytes += entry.bytes();
        }
        self.records.push(record);
    }

    /// Puts a snapshot and all records after it in place of what is pending.
    pub(crate) fn checkpoint(&mut self, write: DiskWrite) {
        self.records.clear();
        self.checkpoint = Some(write);
    }

    /// Sends at once.
    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        self.ready.push(Outgoing { to, message });
    }

    /// Sends once all records so far are synced.
    pub(crate) fn send_synced(&mut self, to: NodeId, message: Message) {
        let until = self.current();
        let outgoing = Outgoing { to, message };
        if until <= self.synced {
            self.ready.push(outgoing);
        } else {
            self.held.push_back(Held { until, outgoing });
        }
    }

    /// The batch that holds all records so far.
    pub(crate) fn current(&self) -> BatchId {
        if self.is_pending() {
            BatchId(self.last.0 + 1)
        } else {
            self.last
        }
    }

    pub(crate) fn is_synced(&self, batch: BatchId) -> bool {
        batch <= self.synced
    }

    /// Bytes of entries that are not synced.
    pub(crate) fn unsynced_bytes(&self) -> usize {
        self.bytes + self.taken.iter().map(|taken| taken.bytes).sum::<usize>()
    }

    /// Since when the oldest batch has been waiting for the disk.
    pub(crate) fn waiting_since(&self) -> Option<Time> {
        self.taken.front().map(|taken| taken.at)
    }

    pub(crate) fn take_sends(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.ready)
    }

    pub(crate) fn take_batch(&mut self, last: Position, now: Time) -> Option<Batch> {
        if !self.is_pending() {
            return None;
        }
        let id = self.current();
        self.last = id;
        self.taken.push_back(Taken {
            id,
            at: now,
            last,
            bytes: std::mem::take(&mut self.bytes),
        });
        let write = self.take_write();
        Some(Batch { id, write })
    }

    fn take_write(&mut self) -> DiskWrite {
        let records = std::mem::take(&mut self.records);
        let Some(DiskWrite::Checkpoint {
            snapshot,
            records: mut all,
        }) = self.checkpoint.take()
        else {
            return DiskWrite::Append(records);
        };
        all.extend(records);
        DiskWrite::Checkpoint {
            snapshot,
            records: all,
        }
    }

    /// Releases what waited for a batch. Returns the last entry in it.
    pub(crate) fn synced(&mut self, batch: BatchId) -> Option<Position> {
        let mut last = None;
        while let Some(taken) = self.taken.front()
            && taken.id <= batch
        {
            last = Some(taken.last);
            self.synced = taken.id;
            self.taken.pop_front();
        }
        while let Some(held) = self.held.front()
            && held.until <= self.synced
        {
            self.ready.extend(self.held.pop_front().map(|h| h.outgoing));
        }
        last
    }

    fn is_pending(&self) -> bool {
        !self.records.is_empty() || self.checkpoint.is_some()
    }
}
