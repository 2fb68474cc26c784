//! All members that this node knows, and how they stand.

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

/// The most members that are remembered.
const MAX_MEMBERS: usize = 1_024;

/// One member.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub record: Record,
    /// The largest version known to be in force there in its present life.
    pub version: Version,
    /// When it last answered a probe of this node.
    pub answered: Option<Time>,
    /// When a suspicion ends in death.
    deadline: Time,
    /// The hash of the record, the same on all nodes.
    hash: u64,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// It was known, or older than what is known.
    Known,
    /// It changed what is known.
    Changed,
    /// The member answered of late. It should hear the claim, to refute it.
    Contradicted,
}

#[derive(Clone, Debug)]
pub(crate) struct Roster {
    me: Peer,
    timing: Timing,
    members: BTreeMap<NodeId, Member>,
    centres: BTreeMap<CentreId, BTreeSet<NodeId>>,
    /// When something newer from another data centre was last heard.
    heard: BTreeMap<CentreId, Time>,
    /// Counts changes of records.
    pub changes: u64,
}

impl Roster {
    pub fn open(me: Record, seeds: &[Peer], timing: Timing, now: Time) -> Self {
        let mut roster = Self {
            me: me.peer,
            timing,
            members: BTreeMap::new(),
            centres: BTreeMap::new(),
            heard: BTreeMap::new(),
            changes: 0,
        };
        for peer in seeds {
            let unheard = Record {
                peer: *peer,
                generation: Generation::default(),
                standing: Standing::Suspect,
            };
            roster.put(unheard, now + timing.centre_dead_after);
        }
        roster.put(me, Time::NEVER);
        roster
    }

    fn put(&mut self, record: Record, deadline: Time) {
        let peer = record.peer;
        if let Some(old) = self.members.get_mut(&peer.node) {
            let is_new_life = old.record.generation.incarnation != record.generation.incarnation;
            if is_new_life {
                old.version = Version(0);
                old.answered = None;
            }
            let before = old.record.peer.centre;
            old.record = record;
            old.deadline = deadline;
            old.hash = record.hash();
            self.centres.entry(before).or_default().remove(&peer.node);
        } else {
            let member = Member {
                record,
                version: Version(0),
                answered: None,
                deadline,
                hash: record.hash(),
            };
            self.members.insert(peer.node, member);
        }
        let centre = self.centres.entry(peer.centre).or_default();
        centre.insert(peer.node);
        self.changes += 1;
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

    pub fn is_mate(&self, node: NodeId) -> bool {
        self.centre_of(node) == Some(self.me.centre)
    }

    /// The members of a data centre, this node included.
    pub fn of_centre(&self, centre: CentreId) -> impl Iterator<Item = (NodeId, &Member)> {
        let nodes = self.centres.get(&centre).into_iter().flatten();
        nodes.filter_map(|node| Some((*node, self.members.get(node)?)))
    }

    /// The other members of the own data centre that may answer.
    pub fn mates(&self) -> impl Iterator<Item = NodeId> {
        let others = self.of_centre(self.me.centre);
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

    /// Takes in a claim about another member.
    pub fn apply(&mut self, claim: Record, now: Time) -> Claim {
        let node = claim.peer.node;
        if node == self.me.node || !claim.generation.is_believable() {
            return Claim::Known;
        }
        match self.members.get(&node) {
            Some(known) if !claim.supersedes(&known.record) => return Claim::Known,
            Some(known) if self.contradicts(known, claim, now) => return Claim::Contradicted,
            None if MAX_MEMBERS <= self.members.len() => return Claim::Known,
            _ => {}
        }
        let deadline = match claim.standing {
            Standing::Suspect => now + self.timing.suspicion_timeout,
            _ => Time::NEVER,
        };
        self.put(claim, deadline);
        Claim::Changed
    }

    /// Whether an answer of the member itself outweighs a claim against it.
    fn contradicts(&self, known: &Member, claim: Record, now: Time) -> bool {
        let is_accused = matches!(claim.standing, Standing::Suspect | Standing::Dead);
        let same = known.record.generation == claim.generation;
        is_accused && same && self.has_answered(known, now)
    }

    /// Whether a member answered a probe of this node of late.
    pub fn has_answered(&self, member: &Member, now: Time) -> bool {
        let is_late = |at: Time| now < at + self.timing.answer_validity;
        member.answered.is_some_and(is_late)
    }

    /// Replaces this node's own record.
    pub fn set_me(&mut self, record: Record) {
        self.put(record, Time::NEVER);
    }

    /// The suspects of the own data centre that did not refute in time. A seed
    /// that was never heard of dies in this node's view alone.
    pub fn expire(&mut self, now: Time) -> Vec<Record> {
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
                self.put(record, Time::NEVER);
            } else if self.is_mate(record.peer.node) {
                claims.push(record);
            }
        }
        claims
    }

    /// Moves what was due while this node did not run.
    pub fn forgive(&mut self, gap: Duration) {
        for member in self.members.values_mut() {
            member.deadline += gap;
        }
        for heard in self.heard.values_mut() {
            *heard += gap;
        }
    }

    pub fn hear(&mut self, centre: CentreId, now: Time) {
        self.heard.insert(centre, now);
    }

    /// How a member stands, with its data centre's silence taken in.
    pub fn standing(&self, member: &Member, now: Time) -> Standing {
        let centre = member.record.peer.centre;
        let standing = member.record.standing;
        if centre == self.me.centre || standing == Standing::Left {
            return standing;
        }
        let heard = self.heard.get(&centre).copied().unwrap_or(Time::ZERO);
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
        let heard = self.heard.get(&centre);
        heard.is_none_or(|heard| *heard + self.timing.centre_quiet_after <= now)
    }

    /// Hashes of the records that were heard of.
    pub fn hashes(&self) -> impl Iterator<Item = (NodeId, u64)> {
        let heard = self.members.iter();
        let heard = heard.filter(|(_, m)| m.record.generation != Generation::default());
        heard.map(|(node, member)| (*node, member.hash))
    }

    /// Bytes held, roughly.
    pub fn memory(&self) -> usize {
        let member = size_of::<NodeId>() + size_of::<Member>();
        self.members.len() * (member * 3 / 2 + 2 * size_of::<NodeId>())
    }
}
