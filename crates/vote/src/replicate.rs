//! Replication: the leader copies entries to the members and handles their acknowledgements.

use std::time::Duration;

use crate::Ack;
use crate::AckOutcome;
use crate::AckedIndex;
use crate::AppendEntries;
use crate::Body;
use crate::Entry;
use crate::Group;
use crate::Index;
use crate::Position;
use crate::SendStamp;
use crate::Trust;
use crate::Voter;
use crate::progress::InFlight;
use crate::progress::Progress;
use crate::role::RoleState;
use base::DiskId;
use base::NodeId;

/// After this time all members are told again what each disk acknowledged.
const ACKED_BROADCAST_INTERVAL: Duration = Duration::from_millis(1_200);

/// The purpose of a message to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendPurpose {
    /// Carries new entries.
    Entries,
    /// Shows that the leader is alive, with or without entries.
    Heartbeat(AckedScope),
}

/// Whose acknowledged index a message carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AckedScope {
    /// Only the receiver's.
    Receiver,
    /// That of every member.
    AllMembers,
}

impl Voter {
    pub(crate) fn leader_tick(&mut self) {
        let RoleState::Leader(leader) = &self.state else {
            return;
        };
        let next_heartbeat_at = leader.next_heartbeat_at;
        let last_contact = self.majority_answered_at().max(leader.elected_at);
        let lost_majority = self.cfg.timing.election_timeout_max < self.now.since(last_contact);
        if lost_majority || self.is_disk_stalled() {
            self.become_follower(self.term, None);
        } else if next_heartbeat_at <= self.now {
            self.send_heartbeats();
        }
    }

    /// Sends a heartbeat to every member, with entries for those that lack some.
    pub(crate) fn send_heartbeats(&mut self) {
        let (now, resend_after) = (self.now, self.cfg.timing.resend_after);
        let next_heartbeat_at = now + self.cfg.timing.heartbeat_interval;
        let RoleState::Leader(leader) = &mut self.state else {
            return;
        };
        leader.next_heartbeat_at = next_heartbeat_at;
        leader.heartbeat_round = leader.round;
        for progress in leader.progress.values_mut() {
            let is_lost = |in_flight: &InFlight| in_flight.sent_at + resend_after <= now;
            if progress.in_flight.as_ref().is_some_and(is_lost) {
                progress.in_flight = None;
                progress.next = progress.matched.next();
            }
        }
        let commit = self.commit;
        let acked = &mut leader.acked_broadcast;
        let purpose = if acked.commit < commit || acked.due <= now {
            acked.commit = commit;
            acked.due = now + ACKED_BROADCAST_INTERVAL;
            AppendPurpose::Heartbeat(AckedScope::AllMembers)
        } else {
            AppendPurpose::Heartbeat(AckedScope::Receiver)
        };
        let nodes: Vec<_> = leader.progress.keys().copied().collect();
        for node in nodes {
            self.replicate_to(node, purpose);
        }
    }

    /// Sends new entries to every member that lacks some and has none in flight, and
    /// heartbeats if a read needs them.
    pub(crate) fn send_new_entries(&mut self) {
        if self.needs_heartbeat() {
            self.send_heartbeats();
        }
        let last = self.log.last_position().index;
        let RoleState::Leader(leader) = &self.state else {
            return;
        };
        let needs_entries = |p: &Progress| p.in_flight.is_none() && p.next <= last;
        let is_trusted = |p: &Progress| p.trust == Trust::Trusted;
        let behind = leader
            .progress
            .iter()
            .filter(|(_, p)| needs_entries(p) && is_trusted(p));
        let nodes: Vec<_> = behind.map(|(node, _)| *node).collect();
        for node in nodes {
            self.replicate_to(node, AppendPurpose::Entries);
        }
    }

    pub(crate) fn on_ack(&mut self, from: NodeId, disk: DiskId, ack: Ack) {
        if !self.group().is_some_and(|group| group.contains(from, disk)) {
            return;
        }
        if self.term < ack.term {
            self.become_follower(ack.term, None);
            return;
        }
        let last = self.log.last_position().index;
        let term = self.term;
        let RoleState::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        if ack.term != term {
            return;
        }
        match ack.outcome {
            AckOutcome::Distrusted => {
                progress.trust = Trust::Distrusted;
                progress.matched = Index::default();
                return;
            }
            AckOutcome::OldTerm => return,
            AckOutcome::Matched(index) => progress.record_match(index.min(last)),
            AckOutcome::Mismatch(next) => progress.rewind_to(next),
            AckOutcome::Received(_) => {}
        }
        progress.last_answered = progress.last_answered.max(ack.stamp);
        if let AckOutcome::Received(bytes) = ack.outcome {
            self.on_chunk_received(from, bytes);
        }
        self.advance_commit_index();
    }

    /// Sends a member again what is under way to it, as it has taken nothing yet.
    pub(crate) fn resend_to(&mut self, node: NodeId, disk: DiskId) {
        if let RoleState::Leader(leader) = &mut self.state
            && let Some(progress) = leader.progress.get_mut(&node)
            && progress.disk == disk
            && progress.matched == Index::default()
        {
            progress.in_flight = None;
            progress.next = Index::default().next();
        }
    }

    pub(crate) fn next_stamp(&mut self) -> SendStamp {
        let sent = self.now;
        let RoleState::Leader(leader) = &mut self.state else {
            return SendStamp::default();
        };
        leader.round += 1;
        let round = leader.round;
        SendStamp { round, sent }
    }

    /// Starts to track new members and drops those that left.
    pub(crate) fn track_members(&mut self, group: &Group) {
        let own = self.cfg.id;
        let last = self.log.last_position().index;
        let now = self.now;
        let RoleState::Leader(leader) = &mut self.state else {
            return;
        };
        leader.members_since = now;
        leader
            .progress
            .retain(|node, progress| group.contains(*node, progress.disk));
        for (node, member) in group.members.iter().filter(|(node, _)| **node != own) {
            leader
                .progress
                .entry(*node)
                .or_insert_with(|| Progress::new(member.disk, last.next(), now));
        }
    }

    fn replicate_to(&mut self, to: NodeId, purpose: AppendPurpose) {
        let last = self.log.last_position().index;
        let base = self.log.base();
        let RoleState::Leader(leader) = &self.state else {
            return;
        };
        let Some(progress) = leader.progress.get(&to) else {
            return;
        };
        let (next, matched) = (progress.next, progress.matched);
        let idle = progress.in_flight.is_none() && progress.trust == Trust::Trusted;
        if idle && next <= base.index {
            self.send_snapshot_chunk(to);
        } else if idle && next <= last {
            self.send_entries(to, next, purpose);
        } else if purpose != AppendPurpose::Entries {
            let at = if idle { next.before() } else { matched };
            let prev = self.log.position_at(at).unwrap_or(base);
            self.send_append(to, prev, Vec::new(), purpose);
        }
    }

    fn send_entries(&mut self, to: NodeId, next: Index, purpose: AppendPurpose) {
        let entries = self.log.entries_from(next, self.cfg.limits.append_bytes);
        let prev = self.log.position_at(next.before());
        let prev = prev.unwrap_or_else(|| self.log.base());
        let up_to = Index(prev.index.0 + entries.len() as u64);
        let sent_at = self.now;
        if let RoleState::Leader(leader) = &mut self.state
            && let Some(progress) = leader.progress.get_mut(&to)
        {
            progress.in_flight = Some(InFlight { up_to, sent_at });
            progress.next = up_to.next();
        }
        self.send_append(to, prev, entries, purpose);
    }

    fn send_append(
        &mut self,
        to: NodeId,
        prev: Position,
        entries: Vec<Entry>,
        purpose: AppendPurpose,
    ) {
        let stamp = self.next_stamp();
        let append = self.new_message(Body::Append(AppendEntries {
            term: self.term,
            stamp,
            prev,
            entries,
            commit: self.commit,
            acked: self.acked_indexes_for(to, purpose),
            silent: self.silent_members(),
        }));
        self.outbox.send(to, append);
    }

    fn acked_indexes_for(&self, to: NodeId, purpose: AppendPurpose) -> Vec<AckedIndex> {
        let Some(group) = self.group() else {
            return Vec::new();
        };
        let all = purpose == AppendPurpose::Heartbeat(AckedScope::AllMembers);
        let wanted = |node: NodeId| all || node == to;
        let members = group.members.iter().filter(|(node, _)| wanted(**node));
        let acked = members.map(|(node, member)| AckedIndex {
            node: *node,
            disk: member.disk,
            index: self.acked_index(*node, member.disk),
        });
        acked.collect()
    }
}
