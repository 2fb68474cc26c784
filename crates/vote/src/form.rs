//! Forming a group on the first start of a deployment, and joining an existing one.
//!
//! A node with an empty disk sends a hello message to the configured voters. The one
//! with the smallest id forms the group once each of the others has sent it a hello
//! message that names its disk, so that both are known to have empty disks. A disk
//! belongs to one group for good, so a wiped disk can't form another group while any
//! member still has its data.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Body;
use crate::Duty;
use crate::Entry;
use crate::Founding;
use crate::Group;
use crate::GroupId;
use crate::Index;
use crate::Member;
use crate::Payload;
use crate::Record;
use crate::Rejection;
use crate::Term;
use crate::Voter;
use base::DiskId;
use base::NodeId;
use base::Time;

const MAX_NON_MEMBERS: usize = 64;

/// A node without a group sends hello messages at the full rate for this long.
const FAST_HELLO_PERIOD: Duration = Duration::from_secs(5);

/// After that, the interval between hello messages is longer by this factor.
pub(crate) const SLOW_HELLO_FACTOR: u32 = 10;

/// What a node knows of the other nodes before it belongs to a group.
#[derive(Debug)]
pub(crate) struct Forming {
    pub(crate) next_hello_at: Time,
    opened_at: Time,
    /// When this node last asked a leader for an invitation.
    pub(crate) asked_at: Time,
    hello_senders: BTreeMap<NodeId, HelloSender>,
    /// The nodes that joined the group that this node formed, until a majority has.
    pub(crate) joined: Option<BTreeSet<NodeId>>,
    /// Nodes outside the settings that may know the group.
    pub(crate) contacts: BTreeSet<NodeId>,
    /// Whether this node stops and offers itself no more.
    pub(crate) is_stopping: bool,
}

/// A node that sent a hello message.
#[derive(Clone, Copy, Debug)]
struct HelloSender {
    disk: DiskId,
    /// When its last hello message arrived.
    at: Time,
    /// Whether that node knows this node's disk.
    mutual: bool,
}

/// The disk of a node outside the group, and when that node last said hello.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastSeen {
    pub(crate) disk: DiskId,
    pub(crate) at: Time,
}

impl Forming {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            next_hello_at: now,
            opened_at: now,
            asked_at: Time::ZERO,
            hello_senders: BTreeMap::new(),
            joined: None,
            contacts: BTreeSet::new(),
            is_stopping: false,
        }
    }
}

impl Voter {
    /// The tick of a node without a group: says hello and forms the group if it may.
    pub(crate) fn tick_without_group(&mut self) {
        if self.now < self.forming.next_hello_at {
            return;
        }
        let is_slow = FAST_HELLO_PERIOD < self.now.since(self.forming.opened_at);
        let factor = if is_slow { SLOW_HELLO_FACTOR } else { 1 };
        self.forming.next_hello_at = self.now + factor * self.cfg.timing.hello_interval;
        self.send_hello_to_all();
        self.try_form_group();
    }

    pub(crate) fn on_hello(
        &mut self,
        from: NodeId,
        disk: DiskId,
        group: Option<GroupId>,
        seen: Option<DiskId>,
    ) {
        if self.group_id.is_some() {
            self.answer_hello(from, disk, group);
            return;
        }
        if group.is_some() {
            // It looks for its group, and this node knows none.
            return;
        }
        if self.cfg.founding == Founding::Forbidden {
            return;
        }
        let mutual = seen == Some(self.cfg.disk);
        let at = self.now;
        self.forming
            .hello_senders
            .insert(from, HelloSender { disk, at, mutual });
        if !mutual {
            self.send_hello(from);
        }
        self.try_form_group();
    }

    pub(crate) fn on_invite(
        &mut self,
        from: NodeId,
        disk: DiskId,
        group: GroupId,
        to: DiskId,
        first_entry: Option<Entry>,
    ) {
        let sender = self.forming.hello_senders.get(&from);
        let replaced = sender.is_some_and(|sender| sender.disk != disk);
        if to != self.cfg.disk || replaced {
            return;
        }
        if self.group_id.is_none() {
            self.bind_to_group(group);
            if let Some(entry) = first_entry {
                self.set_term_and_vote(entry.term, None);
                self.append_entry(entry);
            }
            self.reset_election_timer();
        }
        let joined = self.new_message(Body::Joined);
        self.outbox.send_once_synced(from, joined);
    }

    /// Starts an election early once a majority has joined the formed group, and sends a new
    /// member again what it could not take before.
    pub(crate) fn on_joined(&mut self, from: NodeId, disk: DiskId) {
        self.resend_to(from, disk);
        let Some((_, group)) = self.log.latest_group() else {
            return;
        };
        let quorum = group.quorum();
        if !group.contains(from, disk) {
            return;
        }
        let Some(joined) = &mut self.forming.joined else {
            return;
        };
        joined.insert(from);
        if quorum <= joined.len() + 1 {
            self.forming.joined = None;
            self.election_deadline = self.now;
        }
    }

    /// Tells a node why it can't take part, unless it is a member with this disk.
    pub(crate) fn reject_unless_member(&mut self, node: NodeId, disk: DiskId) {
        let Some(group) = self.group() else {
            return;
        };
        let reason = match group.members.get(&node) {
            Some(member) if member.disk == disk => return,
            Some(member) => Rejection::OtherDisk(member.disk),
            None => Rejection::NotMember,
        };
        self.send_rejection(node, reason);
    }

    /// Records why this node can't take part, unless it knows a membership that is
    /// newer than the sender's.
    pub(crate) fn on_rejected(&mut self, since: Index, reason: Rejection) {
        let own_index = self.log.latest_group().map(|(index, _)| index);
        if own_index.is_none_or(|own_index| own_index < since) {
            self.rejection = Some(reason);
        }
    }

    fn send_rejection(&mut self, node: NodeId, reason: Rejection) {
        let since = self.log.latest_group().map(|(since, _)| since);
        let since = since.unwrap_or_default();
        let message = self.new_message(Body::Rejected { since, reason });
        self.outbox.send(node, message);
    }

    pub(crate) fn send_hello(&mut self, node: NodeId) {
        if node == self.cfg.id {
            return;
        }
        let seen = self
            .forming
            .hello_senders
            .get(&node)
            .map(|sender| sender.disk);
        let hello = self.new_message(Body::Hello { seen });
        self.outbox.send(node, hello);
    }

    fn try_form_group(&mut self) {
        if self.cfg.founding == Founding::Forbidden {
            return;
        }
        let has_smallest_id = self.cfg.voters.first() == Some(&self.cfg.id);
        let others = self.cfg.voters.iter().filter(|node| **node != self.cfg.id);
        let since = self.now - self.cfg.timing.hello_valid_for;
        let ready = |node: &NodeId| {
            let sender = self.forming.hello_senders.get(node);
            sender.is_some_and(|sender| sender.mutual && since <= sender.at)
        };
        if self.group_id.is_none() && has_smallest_id && others.copied().all(|node| ready(&node)) {
            self.form_group();
        }
    }

    fn form_group(&mut self) {
        let id = GroupId(self.cfg.disk.0);
        let disk_of = |node: NodeId| {
            let sender = self.forming.hello_senders.get(&node);
            sender.map_or(self.cfg.disk, |sender| sender.disk)
        };
        let member = |node: &NodeId| {
            let disk = disk_of(*node);
            let duty = Duty::Voter;
            (*node, Member { disk, duty })
        };
        let members = self.cfg.voters.iter().map(member).collect();
        self.bind_to_group(id);
        self.set_term_and_vote(Term(1), None);
        let entry = Entry {
            term: Term(1),
            index: Index(1),
            payload: Payload::Group(Group { id, members }),
        };
        self.append_entry(entry);
        self.forming.joined = Some(BTreeSet::new());
        self.start_formed_group();
    }

    fn start_formed_group(&mut self) {
        if self.cfg.voters.len() == 1 {
            self.election_deadline = self.now;
            return;
        }
        self.reset_election_timer();
        for node in self.cfg.voters.clone() {
            if node != self.cfg.id {
                self.send_invite(node);
            }
        }
    }

    fn bind_to_group(&mut self, group: GroupId) {
        self.group_id = Some(group);
        self.rejection = None;
        self.outbox.add_record(Record::Bound(group));
    }

    fn send_invite(&mut self, node: NodeId) {
        let Some((since, group)) = self.log.latest_group() else {
            return;
        };
        let Some(disk) = group.members.get(&node).map(|member| member.disk) else {
            return;
        };
        let first_entry = self.log.get(since).filter(|e| e.index == Index(1));
        let first_entry = first_entry.cloned();
        let invite = self.new_message(Body::Invite { disk, first_entry });
        self.outbox.send_once_synced(node, invite);
    }

    /// Answers a node with an empty disk, or one that takes itself for no member.
    fn answer_hello(&mut self, node: NodeId, disk: DiskId, bound_to: Option<GroupId>) {
        let acked = self.acked_index(node, disk);
        let Some(group) = self.group() else {
            return;
        };
        if !group.contains(node, disk) {
            self.record_non_member(node, disk);
            self.report_non_member(node, disk);
            self.reject_unless_member(node, disk);
        } else if bound_to.is_some() {
            // It was taken back, and hears of it from the leader.
        } else if Index::default() < acked {
            self.send_rejection(node, Rejection::RolledBack(acked));
        } else {
            self.send_invite(node);
        }
    }

    /// Reports a node outside the group to the leader. That node may know only the
    /// members in its settings, and the leader may not be one of them.
    fn report_non_member(&mut self, node: NodeId, disk: DiskId) {
        let Some(leader) = self.leader().filter(|leader| *leader != self.cfg.id) else {
            return;
        };
        let message = self.new_message(Body::NonMember { node, disk });
        self.outbox.send(leader, message);
    }

    /// Records a node outside the group that a member has reported.
    pub(crate) fn on_non_member(&mut self, from: NodeId, node: NodeId, disk: DiskId) {
        let Some(group) = self.group() else {
            return;
        };
        if group.members.contains_key(&from) && !group.contains(node, disk) {
            self.record_non_member(node, disk);
        }
    }

    fn record_non_member(&mut self, node: NodeId, disk: DiskId) {
        if self.non_members.len() < MAX_NON_MEMBERS || self.non_members.contains_key(&node) {
            let at = self.now;
            self.non_members.insert(node, LastSeen { disk, at });
        }
    }
}
