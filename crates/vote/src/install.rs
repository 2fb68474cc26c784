//! Snapshots for members that need entries the leader has already compacted away.

use crate::AckOutcome;
use crate::Blob;
use crate::Body;
use crate::Index;
use crate::InstallSnapshot;
use crate::Position;
use crate::Snapshot;
use crate::Trust;
use crate::Voter;
use crate::progress::InFlight;
use crate::progress::SnapshotTransfer;
use crate::role::RoleState;
use base::NodeId;

/// A snapshot of which some chunks have arrived.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    last_included: Position,
    total_bytes: u64,
    state: Vec<u8>,
}

impl Voter {
    /// Sends a member the next chunk of the snapshot that is being transferred, or
    /// of the newest one if there is none.
    pub(crate) fn send_snapshot_chunk(&mut self, to: NodeId) {
        let newest = self.snapshot.clone();
        let chunk_bytes = self.cfg.limits.chunk_bytes;
        let term = self.term;
        let now = self.now;
        let stamp = self.next_stamp();
        let RoleState::Leader(leader) = &mut self.state else {
            return;
        };
        let (Some(progress), Some(newest)) = (leader.progress.get_mut(&to), newest) else {
            return;
        };
        let transfer = progress.transfer.get_or_insert(SnapshotTransfer {
            snapshot: newest,
            arrived_bytes: 0,
        });
        let snapshot = &transfer.snapshot;
        let start = transfer.arrived_bytes as usize;
        let end = snapshot.state.len().min(start + chunk_bytes);
        let install = InstallSnapshot {
            term,
            stamp,
            last_included: snapshot.last_included,
            group: snapshot.group.clone(),
            total_bytes: snapshot.state.len() as u64,
            offset: transfer.arrived_bytes,
            chunk: Blob::from(&snapshot.state[start..end]),
        };
        progress.in_flight = Some(InFlight {
            up_to: snapshot.last_included.index,
            sent_at: now,
        });
        let message = self.new_message(Body::Install(install));
        self.outbox.send(to, message);
    }

    /// Handles an ack that says how many bytes of the snapshot a member has received.
    pub(crate) fn on_chunk_received(&mut self, from: NodeId, bytes: u64) {
        let RoleState::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        let Some(transfer) = &mut progress.transfer else {
            return;
        };
        if transfer.arrived_bytes == bytes || transfer.snapshot.state.len() as u64 <= bytes {
            return;
        }
        transfer.arrived_bytes = bytes;
        self.send_snapshot_chunk(from);
    }

    pub(crate) fn on_install(&mut self, from: NodeId, install: InstallSnapshot) {
        if !self.accept_leader(from, install.term, install.stamp) {
            return;
        }
        if self.trust == Trust::Distrusted {
            self.send_ack(from, install.stamp, AckOutcome::Distrusted);
            return;
        }
        let stamp = install.stamp;
        if let Some(outcome) = self.store_chunk(install) {
            self.send_ack(from, stamp, outcome);
        }
    }

    /// Stores a chunk. Returns `None`, so that no ack is sent, for too large a snapshot.
    fn store_chunk(&mut self, install: InstallSnapshot) -> Option<AckOutcome> {
        if install.last_included.index <= self.commit {
            return Some(AckOutcome::Matched(install.last_included.index));
        }
        if self.cfg.limits.snapshot_bytes < install.total_bytes {
            return None;
        }
        let same = |i: &IncomingSnapshot| {
            i.last_included == install.last_included && i.total_bytes == install.total_bytes
        };
        let mut incoming = self
            .incoming_snapshot
            .take()
            .filter(same)
            .unwrap_or(IncomingSnapshot {
                last_included: install.last_included,
                total_bytes: install.total_bytes,
                state: Vec::new(),
            });
        if incoming.state.len() as u64 == install.offset {
            incoming.state.extend_from_slice(&install.chunk);
        }
        let arrived = incoming.state.len() as u64;
        if arrived < install.total_bytes {
            self.incoming_snapshot = Some(incoming);
            return Some(AckOutcome::Received(arrived));
        }
        self.install_snapshot(Snapshot {
            last_included: install.last_included,
            group: install.group,
            state: Blob::from(incoming.state),
        });
        Some(AckOutcome::Matched(install.last_included.index))
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        self.log.reset_to_snapshot(&snapshot);
        self.commit = snapshot.last_included.index;
        self.delivered = snapshot.last_included.index;
        self.synced_index = Index::default();
        self.snapshot_to_install = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
        self.checkpoint();
    }
}
