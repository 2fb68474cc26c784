//! Snapshots for members that are behind what the leader still has in its log.

use crate::Blob;
use crate::Body;
use crate::Index;
use crate::Install;
use crate::Outcome;
use crate::Position;
use crate::Snapshot;
use crate::Trust;
use crate::Voter;
use crate::progress::Flight;
use crate::progress::Transfer;
use crate::role::State;
use base::NodeId;

/// A snapshot of which some pieces have arrived.
#[derive(Debug)]
pub(crate) struct Incoming {
    at: Position,
    total: u64,
    state: Vec<u8>,
}

impl Voter {
    /// Sends the next piece of the newest snapshot to a member, or of the one
    /// that is already under way.
    pub(crate) fn send_chunk(&mut self, to: NodeId) {
        let newest = self.snapshot.clone();
        let chunk_bytes = self.cfg.limits.chunk;
        let term = self.term;
        let now = self.now;
        let beat = self.next_beat();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let (Some(progress), Some(newest)) = (leader.progress.get_mut(&to), newest) else {
            return;
        };
        let transfer = progress.transfer.get_or_insert(Transfer {
            snapshot: newest,
            arrived: 0,
        });
        let snapshot = &transfer.snapshot;
        let start = transfer.arrived as usize;
        let end = snapshot.state.len().min(start + chunk_bytes);
        let install = Install {
            term,
            beat,
            at: snapshot.at,
            group: snapshot.group.clone(),
            total: snapshot.state.len() as u64,
            offset: transfer.arrived,
            chunk: Blob::from(&snapshot.state[start..end]),
        };
        progress.flight = Some(Flight {
            upto: snapshot.at.index,
            sent: now,
        });
        let message = self.message(Body::Install(install));
        self.outbox.send(to, message);
    }

    pub(crate) fn on_received(&mut self, from: NodeId, bytes: u64) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        let Some(transfer) = &mut progress.transfer else {
            return;
        };
        if transfer.arrived == bytes || transfer.snapshot.state.len() as u64 <= bytes {
            return;
        }
        transfer.arrived = bytes;
        self.send_chunk(from);
    }

    pub(crate) fn on_install(&mut self, from: NodeId, install: Install) {
        if !self.hear_leader(from, install.term, install.beat) {
            return;
        }
        if self.trust == Trust::Distrusted {
            self.ack(from, install.beat, Outcome::Distrusted);
            return;
        }
        let beat = install.beat;
        if let Some(outcome) = self.take_chunk(install) {
            self.ack(from, beat, outcome);
        }
    }

    fn take_chunk(&mut self, install: Install) -> Option<Outcome> {
        if install.at.index <= self.commit {
            return Some(Outcome::Matched(install.at.index));
        }
        if self.cfg.limits.snapshot < install.total {
            return None;
        }
        let same = |i: &Incoming| i.at == install.at && i.total == install.total;
        let mut incoming = self.incoming.take().filter(same).unwrap_or(Incoming {
            at: install.at,
            total: install.total,
            state: Vec::new(),
        });
        if incoming.state.len() as u64 == install.offset {
            incoming.state.extend_from_slice(&install.chunk);
        }
        let arrived = incoming.state.len() as u64;
        if arrived < install.total {
            self.incoming = Some(incoming);
            return Some(Outcome::Received(arrived));
        }
        self.take_snapshot(Snapshot {
            at: install.at,
            group: install.group,
            state: Blob::from(incoming.state),
        });
        Some(Outcome::Matched(install.at.index))
    }

    fn take_snapshot(&mut self, snapshot: Snapshot) {
        self.log.reset(&snapshot);
        self.commit = snapshot.at.index;
        self.delivered = snapshot.at.index;
        self.durable = Index::default();
        self.install = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
        self.checkpoint();
    }
}
