//! Forming a group on its first start, and joining one that exists.
//!
//! A disk that is empty says hello to the voters in the settings. The one with
//! the smallest id forms the group once every one of them has shown it an empty
//! disk and has met its own disk. A disk belongs to one group for good, so a
//! disk that was wiped cannot form another one while a single member remembers.

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
use crate::Notice;
use crate::Payload;
use crate::Record;
use crate::Seat;
use crate::Term;
use crate::Voter;
use base::DiskId;
use base::NodeId;
use base::Time;

const MAX_STRANGERS: usize = 64;

/// After this time without a group a node says hello less often.
const EAGER: Duration = Duration::from_secs(5);

/// By how much.
const SLOWER: u32 = 10;

/// What is known of the others before there is a group.
#[derive(Debug)]
pub(crate) struct Forming {
    pub(crate) hello_at: Time,
    opened: Time,
    met: BTreeMap<NodeId, Met>,
    /// Who has joined the group that this node formed.
    pub(crate) joined: Option<BTreeSet<NodeId>>,
}

/// A node that said hello.
#[derive(Clone, Copy, Debug)]
struct Met {
    disk: DiskId,
    at: Time,
    /// Whether it has met this disk too.
    mutual: bool,
}

/// A node without a seat that said hello.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seen {
    pub(crate) disk: DiskId,
    pub(crate) at: Time,
}

impl Forming {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            hello_at: now,
            opened: now,
            met: BTreeMap::new(),
            joined: None,
        }
    }
}

impl Voter {
    pub(crate) fn form_tick(&mut self) {
        if self.now < self.forming.hello_at {
            return;
        }
        let waits = EAGER < self.now.since(self.forming.opened);
        let slower = if waits { SLOWER } else { 1 };
        self.forming.hello_at = self.now + slower * self.cfg.timing.hello;
        for node in self.cfg.voters.clone() {
            self.hello(node);
        }
        self.try_form();
    }

    pub(crate) fn on_hello(&mut self, from: NodeId, disk: DiskId, met: Option<DiskId>) {
        if self.bound.is_some() {
            self.refer(from, disk);
            return;
        }
        if self.cfg.founding == Founding::Forbidden {
            return;
        }
        let mutual = met == Some(self.cfg.disk);
        let at = self.now;
        self.forming.met.insert(from, Met { disk, at, mutual });
        if !mutual {
            self.hello(from);
        }
        self.try_form();
    }

    pub(crate) fn on_invite(
        &mut self,
        from: NodeId,
        disk: DiskId,
        group: GroupId,
        to: DiskId,
        first: Option<Entry>,
    ) {
        let met = self.forming.met.get(&from);
        let replaced = met.is_some_and(|met| met.disk != disk);
        if to != self.cfg.disk || replaced {
            return;
        }
        if self.bound.is_none() {
            self.bind(group);
            if let Some(entry) = first {
                self.promise(entry.term, None);
                self.append_entry(entry);
            }
            self.reset_election();
        }
        let joined = self.message(Body::Joined);
        self.outbox.send_synced(from, joined);
    }

    /// The node that formed the group asks for votes as soon as they can come.
    pub(crate) fn on_joined(&mut self, from: NodeId, disk: DiskId) {
        let Some((_, group)) = self.log.group() else {
            return;
        };
        let quorum = group.quorum();
        if !group.has(from, disk) {
            return;
        }
        let Some(joined) = &mut self.forming.joined else {
            return;
        };
        joined.insert(from);
        if quorum <= joined.len() + 1 {
            self.forming.joined = None;
            self.election_at = self.now;
        }
    }

    /// Tells a node why it cannot take part.
    pub(crate) fn refuse(&mut self, node: NodeId, disk: DiskId) {
        let Some(group) = self.group() else {
            return;
        };
        let notice = match group.seats.get(&node) {
            Some(seat) if seat.disk == disk => return,
            Some(seat) => Notice::OtherDisk(seat.disk),
            None => Notice::NotMember,
        };
        self.notify(node, notice);
    }

    /// Takes word that this node cannot take part, unless it knows of members
    /// that were named later.
    pub(crate) fn on_notice(&mut self, since: Index, notice: Notice) {
        let known = self.log.group().map(|(known, _)| known);
        if known.is_none_or(|known| known < since) {
            self.notice = Some(notice);
        }
    }

    fn notify(&mut self, node: NodeId, notice: Notice) {
        let since = self.log.group().map(|(since, _)| since);
        let since = since.unwrap_or_default();
        let message = self.message(Body::Notice { since, notice });
        self.outbox.send(node, message);
    }

    fn hello(&mut self, node: NodeId) {
        if node == self.cfg.id {
            return;
        }
        let met = self.forming.met.get(&node).map(|met| met.disk);
        let hello = self.message(Body::Hello { met });
        self.outbox.send(node, hello);
    }

    fn try_form(&mut self) {
        if self.cfg.founding == Founding::Forbidden {
            return;
        }
        let lowest = self.cfg.voters.first() == Some(&self.cfg.id);
        let others = self.cfg.voters.iter().filter(|node| **node != self.cfg.id);
        let since = self.now - self.cfg.timing.hello_valid;
        let ready = |node: &NodeId| {
            let met = self.forming.met.get(node);
            met.is_some_and(|met| met.mutual && since <= met.at)
        };
        if self.bound.is_none() && lowest && others.copied().all(|node| ready(&node)) {
            self.form();
        }
    }

    fn form(&mut self) {
        let id = GroupId(self.cfg.disk.0);
        let disk_of = |node: NodeId| {
            let met = self.forming.met.get(&node);
            met.map_or(self.cfg.disk, |met| met.disk)
        };
        let seat = |node: &NodeId| {
            let disk = disk_of(*node);
            let duty = Duty::Voter;
            (*node, Seat { disk, duty })
        };
        let seats = self.cfg.voters.iter().map(seat).collect();
        self.bind(id);
        self.promise(Term(1), None);
        let entry = Entry {
            term: Term(1),
            index: Index(1),
            payload: Payload::Group(Group { id, seats }),
        };
        self.append_entry(entry);
        self.forming.joined = Some(BTreeSet::new());
        self.start_formed();
    }

    fn start_formed(&mut self) {
        if self.cfg.voters.len() == 1 {
            self.election_at = self.now;
            return;
        }
        self.reset_election();
        for node in self.cfg.voters.clone() {
            if node != self.cfg.id {
                self.invite(node);
            }
        }
    }

    fn bind(&mut self, group: GroupId) {
        self.bound = Some(group);
        self.notice = None;
        self.outbox.record(Record::Bound(group));
    }

    fn invite(&mut self, node: NodeId) {
        let Some((since, group)) = self.log.group() else {
            return;
        };
        let Some(disk) = group.seats.get(&node).map(|seat| seat.disk) else {
            return;
        };
        let first = self.log.get(since).filter(|e| e.index == Index(1));
        let first = first.cloned();
        let invite = self.message(Body::Invite { disk, first });
        self.outbox.send_synced(node, invite);
    }

    /// Answers a node with an empty disk.
    fn refer(&mut self, node: NodeId, disk: DiskId) {
        let floor = self.floor(node, disk);
        let Some(group) = self.group() else {
            return;
        };
        if !group.has(node, disk) {
            self.note_stranger(node, disk);
            self.tell_leader(node, disk);
            self.refuse(node, disk);
        } else if Index::default() < floor {
            self.notify(node, Notice::RolledBack(floor));
        } else {
            self.invite(node);
        }
    }

    /// Tells the leader of a node that may know only other members: those in its settings.
    fn tell_leader(&mut self, node: NodeId, disk: DiskId) {
        let Some(leader) = self.leader().filter(|leader| *leader != self.cfg.id) else {
            return;
        };
        let message = self.message(Body::Stranger { node, disk });
        self.outbox.send(leader, message);
    }

    /// Takes from a member that a node without a seat wants to take part.
    pub(crate) fn on_stranger(&mut self, from: NodeId, node: NodeId, disk: DiskId) {
        let Some(group) = self.group() else {
            return;
        };
        if group.seats.contains_key(&from) && !group.has(node, disk) {
            self.note_stranger(node, disk);
        }
    }

    fn note_stranger(&mut self, node: NodeId, disk: DiskId) {
        if self.strangers.len() < MAX_STRANGERS || self.strangers.contains_key(&node) {
            let at = self.now;
            self.strangers.insert(node, Seen { disk, at });
        }
    }
}
