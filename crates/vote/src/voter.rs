//! The voter: its state, and how input reaches it.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use crate::BatchId;
use crate::Body;
use crate::Config;
use crate::Effects;
use crate::Entry;
use crate::Group;
use crate::GroupId;
use crate::Index;
use crate::Message;
use crate::Payload;
use crate::ReadAnswer;
use crate::ReadId;
use crate::Record;
use crate::Rejection;
use crate::Restored;
use crate::Snapshot;
use crate::Term;
use crate::Trust;
use crate::contact::Contacts;
use crate::form::Forming;
use crate::form::LastSeen;
use crate::install::IncomingSnapshot;
use crate::log::Log;
use crate::outbox::Outbox;
use crate::role::RoleState;
use base::ByteSize;
use base::DiskId;
use base::NodeId;
use base::Time;

/// The number of disks above which acknowledged indexes of non-members are dropped.
const MAX_ACKED_DISKS: usize = 64;

/// One member of a group that agrees on a log.
#[derive(Debug)]
pub struct Voter {
    pub(crate) cfg: Config,
    pub(crate) rng: Rng,
    pub(crate) now: Time,
    pub(crate) group_id: Option<GroupId>,
    pub(crate) trust: Trust,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<NodeId>,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) commit: Index,
    /// The last entry that was handed to the process.
    pub(crate) delivered: Index,
    /// The last entry that is synced to disk.
    pub(crate) synced_index: Index,
    pub(crate) state: RoleState,
    /// No vote is granted before this time.
    pub(crate) votes_withheld_until: Time,
    pub(crate) election_deadline: Time,
    pub(crate) forming: Forming,
    pub(crate) contacts: Contacts,
    pub(crate) acked_indexes: BTreeMap<(NodeId, DiskId), Index>,
    pub(crate) non_members: BTreeMap<NodeId, LastSeen>,
    pub(crate) rejection: Option<Rejection>,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) snapshot_to_install: Option<Snapshot>,
    pub(crate) read_answers: Vec<ReadAnswer>,
    pub(crate) next_read: ReadId,
    pub(crate) outbox: Outbox,
}

impl Voter {
    /// Opens a voter with what its disk held. The first effects contain the newest
    /// snapshot, if there is one.
    pub fn open(cfg: Config, restored: Restored, now: Time) -> Self {
        let mut voter = Self {
            rng: Rng::with_seed(cfg.seed),
            now,
            group_id: None,
            trust: Trust::Trusted,
            term: Term::default(),
            voted_for: None,
            log: Log::default(),
            snapshot: None,
            commit: Index::default(),
            delivered: Index::default(),
            synced_index: Index::default(),
            state: RoleState::Follower { leader: None },
            votes_withheld_until: Time::ZERO,
            election_deadline: Time::NEVER,
            forming: Forming::new(now),
            contacts: Contacts::default(),
            acked_indexes: BTreeMap::new(),
            non_members: BTreeMap::new(),
            rejection: None,
            incoming_snapshot: None,
            snapshot_to_install: None,
            read_answers: Vec::new(),
            next_read: ReadId::default(),
            outbox: Outbox::default(),
            cfg,
        };
        voter.restore(restored);
        if voter.group_id.is_some() {
            voter.resume_after_restart();
        }
        voter
    }

    /// Handles a message from another node.
    pub fn receive(&mut self, from: NodeId, message: Message, now: Time) {
        self.advance_clock(now);
        let Message { disk, group, body } = message;
        let from_other_group = self.group_id.is_some() && group.is_some() && self.group_id != group;
        if from_other_group || from == self.cfg.id {
            return;
        }
        self.contacts.record_message(from, self.now);
        match body {
            Body::Hello { seen } => self.on_hello(from, disk, group, seen),
            Body::Invite {
                disk: to,
                first_entry,
            } => {
                if let Some(group) = group {
                    self.on_invite(from, disk, group, to, first_entry);
                }
            }
            Body::Joined => self.on_joined(from, disk),
            Body::Rejected { since, reason } => self.on_rejected(since, reason),
            _ if self.group_id.is_none() && group.is_some() => self.ask_for_invitation(from),
            _ if group.is_none() => {}
            Body::RequestVote(request) => self.on_request_vote(from, disk, request),
            Body::VoteReply(reply) => self.on_vote_reply(from, disk, reply),
            Body::HandOver { term } => self.on_hand_over(from, term),
            Body::Append(append) => self.on_append(from, append),
            Body::Install(install) => self.on_install(from, install),
            Body::Ack(ack) => self.on_ack(from, disk, ack),
            Body::NonMember { node, disk } => self.on_non_member(from, node, disk),
        }
    }

    /// Does the work that is due at this time.
    pub fn tick(&mut self, now: Time) {
        self.advance_clock(now);
        if self.group_id.is_none() {
            self.tick_without_group();
            return;
        }
        if let RoleState::Leader(_) = self.state {
            self.leader_tick();
            return;
        }
        if self.is_spare() && self.forming.next_hello_at <= self.now {
            self.offer_as_spare();
        }
        if self.election_deadline <= self.now {
            self.start_election();
        }
    }

    /// The time at which [`Voter::tick`] next has work to do.
    pub fn next_deadline(&self) -> Time {
        if self.group_id.is_none() {
            return self.forming.next_hello_at;
        }
        match &self.state {
            RoleState::Leader(leader) => leader.next_heartbeat_at,
            _ if self.is_spare() => self.election_deadline.min(self.forming.next_hello_at),
            _ => self.election_deadline,
        }
    }

    /// Returns what the process must do next.
    pub fn take_effects(&mut self) -> Effects {
        self.send_new_entries();
        let committed: Vec<Entry> = self
            .log
            .entries_after(self.delivered)
            .take_while(|entry| entry.index <= self.commit)
            .cloned()
            .collect();
        self.delivered = self.delivered.max(self.commit);
        Effects {
            sends: self.outbox.take_messages(),
            install: self.snapshot_to_install.take(),
            committed,
            reads: std::mem::take(&mut self.read_answers),
            batch: self.outbox.take_batch(self.log.last_position(), self.now),
        }
    }

    /// Records that a batch and all earlier ones are synced.
    pub fn mark_synced(&mut self, batch: BatchId, now: Time) {
        self.advance_clock(now);
        let Some(last) = self.outbox.mark_synced(batch) else {
            return;
        };
        if self.log.term_at(last.index) == Some(last.term) {
            self.synced_index = self.synced_index.max(last.index);
        }
        match &self.state {
            RoleState::Leader(_) => self.advance_commit_index(),
            RoleState::Candidate(_) => self.advance_election(),
            RoleState::Follower { .. } => {}
        }
    }

    /// The approximate size of the log, to decide when to [`Voter::compact`] it.
    pub fn log_bytes(&self) -> ByteSize {
        ByteSize(self.log.entry_bytes() as u64)
    }

    /// The group, or `None` if there is none or its members are not known yet.
    pub fn group(&self) -> Option<&Group> {
        self.log.latest_group().map(|(_, group)| group)
    }

    /// How long the oldest write has been waiting for the disk.
    pub fn disk_wait(&self) -> Duration {
        let since = self.outbox.oldest_write_since();
        since.map_or(Duration::ZERO, |since| self.now.since(since))
    }

    pub(crate) fn advance_clock(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    pub(crate) fn new_message(&self, body: Body) -> Message {
        Message {
            disk: self.cfg.disk,
            group: self.group_id,
            body,
        }
    }

    pub(crate) fn set_term_and_vote(&mut self, term: Term, vote: Option<NodeId>) {
        self.term = term;
        self.voted_for = vote;
        self.outbox.add_record(Record::TermAndVote { term, vote });
    }

    pub(crate) fn append_entry(&mut self, entry: Entry) {
        self.outbox.add_record(Record::Entry(entry.clone()));
        if let Payload::Group(group) = &entry.payload {
            self.non_members
                .retain(|node, seen| !group.contains(*node, seen.disk));
        }
        self.log.push(entry);
    }

    /// Whether this node with its disk is a voter of the group it knows.
    pub(crate) fn is_voter(&self) -> bool {
        let group = self.group();
        group.is_some_and(|g| g.has_voter(self.cfg.id, self.cfg.disk))
    }

    pub(crate) fn is_disk_stalled(&self) -> bool {
        self.cfg.timing.disk_stall_after < self.disk_wait()
    }

    pub(crate) fn acked_index(&self, node: NodeId, disk: DiskId) -> Index {
        self.acked_indexes
            .get(&(node, disk))
            .copied()
            .unwrap_or_default()
    }

    pub(crate) fn raise_acked_index(&mut self, node: NodeId, disk: DiskId, index: Index) {
        if MAX_ACKED_DISKS <= self.acked_indexes.len() {
            let group = self.log.latest_group().map(|(_, group)| group);
            self.acked_indexes
                .retain(|(node, disk), _| group.is_some_and(|g| g.contains(*node, *disk)));
        }
        let acked = self.acked_indexes.entry((node, disk)).or_default();
        *acked = index.max(*acked);
    }

    /// Excludes this voter for good if its disk has lost entries it acknowledged.
    pub(crate) fn check_own_acked_index(&mut self, acked: Index) {
        if self.trust == Trust::Distrusted || acked <= self.log.last_position().index {
            return;
        }
        self.trust = Trust::Distrusted;
        self.outbox.add_record(Record::Distrusted);
        self.become_follower(self.term, None);
    }
}
