//! The list of all members that this node knows, with their standing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Generation;
use crate::Peer;
use crate::Standing;
use crate::Timing;
use crate::record::Record;
use base::CentreId;
use base::NodeId;
use base::Time;
use base::Version;

/// The most members in the list.
const MAX_MEMBERS: usize = 1_024;

/// What this node knows of one member.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub record: Record,
    /// The largest version known to be in force there in this incarnation.
    pub version: Version,
    /// When it last answered a probe of this node.
    pub last_answer: Option<Time>,
    /// When a suspected member is declared dead.
    deadline: Time,
    /// The hash of the record, the same on all nodes.
    hash: u64,
}

/// What the roster did with a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimOutcome {
    /// The claim was known, superseded or implausible, or the roster is full.
    Ignored,
    /// The claim replaced the member's record.
    Changed,
    /// The member answered recently. It should hear the claim, to refute it.
    Contradicted,
}

#[derive(Clone, Debug)]
pub(crate) struct Roster {
    me: Peer,
    timing: Timing,
    members: BTreeMap<NodeId, Member>,
    centres: BTreeMap<CentreId, BTreeSet<NodeId>>,
    /// When something new was last heard from each data centre.
    last_heard: BTreeMap<CentreId, Time>,
    /// How often a record was added or replaced.
    pub change_count: u64,
}

impl Roster {
    pub fn new(me: Record, seeds: &[Peer], timing: Timing, now: Time) -> Self {
        let mut roster = Self {
            me: me.peer,
            timing,
            members: BTreeMap::new(),
            centres: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            change_count: 0,
        };
        for peer in seeds {
            let unheard = Record {
                peer: *peer,
                generation: Generation::default(),
                standing: Standing::Suspect,
            };
            roster.insert(unheard, now + timing.centre_dead_after);
        }
        roster.insert(me, Time::NEVER);
        roster
    }

    fn insert(&mut self, record: Record, deadline: Time) {
        let peer = record.peer;
        if let Some(old) = self.members.get_mut(&peer.node) {
            let is_new_incarnation =
                old.record.generation.incarnation != record.generation.incarnation;
            if is_new_incarnation {
                old.version = Version(0);
                old.last_answer = None;
            }
            let old_centre = old.record.peer.centre;
            old.record = record;
            old.deadline = deadline;
            old.hash = record.hash();
            self.centres
                .entry(old_centre)
                .or_default()
                .remove(&peer.node);
        } else {
            let member = Member {
                record,
                version: Version(0),
                last_answer: None,
                deadline,
                hash: record.hash(),
            };
            self.members.insert(peer.node, member);
        }
        let centre = self.centres.entry(peer.centre).or_default();
        centre.insert(peer.node);
        self.change_count += 1;
    }

    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.members.get(&node)
    }

    pub fn get_mut(&mut self, node: NodeId) -> Option<&mut Member> {
        self.members.get_mut(&node)
    }

    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.members.iter().map(|(node, member)| (*node, member))
    }

    pub fn centre_of(&self, node: NodeId) -> Option<CentreId> {
        Some(self.members.get(&node)?.record.peer.centre)
    }

    pub fn is_local(&self, node: NodeId) -> bool {
        self.centre_of(node) == Some(self.me.centre)
    }

    /// The members of a data centre by id, this node included.
    pub fn members_in(&self, centre: CentreId) -> impl Iterator<Item = (NodeId, &Member)> {
        let nodes = self.centres.get(&centre).into_iter().flatten();
        nodes.filter_map(|node| Some((*node, self.members.get(node)?)))
    }

    /// The other members of the own data centre that are alive or suspect.
    pub fn local_peers(&self) -> impl Iterator<Item = NodeId> {
        let others = self.members_in(self.me.centre);
        let others = others.filter(|(node, _)| *node != self.me.node);
        let present = others.filter(|(_, member)| member.record.standing < Standing::Dead);
        present.map(|(node, _)| node)
    }

    /// All data centres that have members, in order.
    pub fn centres(&self) -> impl Iterator<Item = CentreId> {
        let all = self.centres.iter().filter(|(_, nodes)| !nodes.is_empty());
        all.map(|(centre, _)| *centre)
    }

    pub fn other_centres(&self) -> impl Iterator<Item = CentreId> {
        self.centres().filter(|centre| *centre != self.me.centre)
    }

    /// Applies a claim about another member if it wins over what is known.
    pub fn apply(&mut self, claim: Record, now: Time) -> ClaimOutcome {
        let node = claim.peer.node;
        if node == self.me.node || !claim.generation.is_plausible() {
            return ClaimOutcome::Ignored;
        }
        match self.members.get(&node) {
            Some(known) if !claim.supersedes(&known.record) => return ClaimOutcome::Ignored,
            Some(known) if self.contradicts(known, claim, now) => {
                return ClaimOutcome::Contradicted;
            }
            None if MAX_MEMBERS <= self.members.len() => return ClaimOutcome::Ignored,
            _ => {}
        }
        let deadline = match claim.standing {
            Standing::Suspect => now + self.timing.suspicion_timeout,
            _ => Time::NEVER,
        };
        self.insert(claim, deadline);
        ClaimOutcome::Changed
    }

    /// Whether a recent answer outweighs a claim that a member is suspect or dead.
    fn contradicts(&self, known: &Member, claim: Record, now: Time) -> bool {
        let is_suspect_or_dead = matches!(claim.standing, Standing::Suspect | Standing::Dead);
        let is_same_generation = known.record.generation == claim.generation;
        is_suspect_or_dead && is_same_generation && self.has_answered(known, now)
    }

    /// Whether a member answered a probe of this node recently.
    pub fn has_answered(&self, member: &Member, now: Time) -> bool {
        let is_recent = |at: Time| now < at + self.timing.answer_validity;
        member.last_answer.is_some_and(is_recent)
    }

    pub fn set_own_record(&mut self, record: Record) {
        self.insert(record, Time::NEVER);
    }

    /// Claims that the local suspects that did not refute in time are dead. A seed
    /// of which nothing was heard becomes dead in this node's view alone.
    pub fn expire_suspects(&mut self, now: Time) -> Vec<Record> {
        let due = self
            .members
            .values()
            .filter(|member| member.record.standing == Standing::Suspect && member.deadline <= now);
        let dead = due.map(|member| Record {
            standing: Standing::Dead,
            ..member.record
        });
        let dead: Vec<Record> = dead.collect();
        let mut claims = Vec::new();
        for record in dead {
            let is_seed = record.generation == Generation::default();
            if is_seed {
                self.insert(record, Time::NEVER);
            } else if self.is_local(record.peer.node) {
                claims.push(record);
            }
        }
        claims
    }

    /// Moves all deadlines by the time for which this process was suspended.
    pub fn extend_deadlines(&mut self, gap: Duration) {
        for member in self.members.values_mut() {
            member.deadline += gap;
        }
        for heard in self.last_heard.values_mut() {
            *heard += gap;
        }
    }

    pub fn note_heard_from(&mut self, centre: CentreId, now: Time) {
        self.last_heard.insert(centre, now);
    }

    /// A member's standing. In another data centre from which nothing was heard for
    /// some time, members that have not left count as suspect, later as dead.
    pub fn effective_standing(&self, member: &Member, now: Time) -> Standing {
        let centre = member.record.peer.centre;
        let standing = member.record.standing;
        if centre == self.me.centre || standing == Standing::Left {
            return standing;
        }
        let heard = self.last_heard.get(&centre).copied().unwrap_or(Time::ZERO);
        let silence = now.since(heard);
        if self.timing.centre_dead_after <= silence {
            return Standing::Dead;
        }
        if self.timing.centre_suspect_after <= silence {
            return standing.max(Standing::Suspect);
        }
        standing
    }

    /// Whether nothing was heard from a data centre for some time.
    pub fn is_quiet(&self, centre: CentreId, now: Time) -> bool {
        let heard = self.last_heard.get(&centre);
        heard.is_none_or(|heard| *heard + self.timing.centre_quiet_after <= now)
    }

    /// Hashes of the records of all members that were heard of.
    pub fn hashes(&self) -> impl Iterator<Item = (NodeId, u64)> {
        let heard = self.members.iter();
        let heard = heard.filter(|(_, m)| m.record.generation != Generation::default());
        heard.map(|(node, member)| (*node, member.hash))
    }

    /// Estimated memory use in bytes.
    pub fn memory_bytes(&self) -> usize {
        let member = size_of::<NodeId>() + size_of::<Member>();
        self.members.len() * (member * 3 / 2 + 2 * size_of::<NodeId>())
    }
}
