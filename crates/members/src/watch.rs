//! Watches the other members: probes, suspicion, refutation, reports between
//! data centres.

use std::time::Duration;

use crate::Generation;
use crate::Item;
use crate::ItemKind;
use crate::Members;
use crate::Scope;
use crate::Standing;
use crate::outbox::Rumor;
use crate::packet::Section;
use crate::prober::Step;
use crate::record::Record;
use crate::spread::Learned;
use crate::versions::Versions;
use base::NodeId;
use base::Time;
use base::Version;

/// Time between two comparisons that a node begins.
const SYNC_EVERY: Duration = Duration::from_millis(500);

impl Members {
    /// Probes members of the own data centre.
    pub(crate) fn probe(&mut self, now: Time) {
        let mates: Vec<NodeId> = self.roster.mates().collect();
        let of_centre = self.roster.of_centre(self.me.peer.centre);
        let dead = of_centre.filter(|(_, member)| member.record.standing == Standing::Dead);
        let dead: Vec<NodeId> = dead.map(|(node, _)| node).collect();
        for step in self.prober.tick(&mates, &dead, &mut self.rng, now) {
            match step {
                Step::Ping { target, nonce } => self.ping(target, nonce, now),
                Step::Ask {
                    target,
                    nonce,
                    helpers,
                } => {
                    for helper in helpers {
                        let section = Section::PingFor { nonce, target };
                        self.outbox.probe(helper, section);
                    }
                }
                Step::Failed { target } => self.suspect(target, now),
            }
        }
    }

    /// Pings contacts in other data centres where this node is a contact. A
    /// quiet data centre is tried by every node, at any of its members.
    pub(crate) fn ping_links(&mut self, now: Time) {
        if now < self.link_at {
            return;
        }
        self.link_at = now + self.cfg.timing.contact_ping_interval;
        self.link_turn = self.link_turn.wrapping_add(1);
        let mut targets = Vec::new();
        for (centre, link) in self.links.iter() {
            if self.roster.is_quiet(centre, now) {
                let all = self.roster.of_centre(centre);
                let present = all.filter(|(_, m)| m.record.standing < Standing::Left);
                let present: Vec<NodeId> = present.map(|(node, _)| node).collect();
                targets.extend(self.rng.choice(&present));
            } else if let Some(rank) = link.rank
                && !link.others.is_empty()
            {
                let turn = (self.link_turn + rank) % link.others.len();
                targets.push(link.others[turn]);
            }
        }
        for target in targets {
            let nonce = self.prober.nonce();
            self.ping(target, nonce, now);
        }
    }

    /// Tells the other data centres which versions are in force here.
    pub(crate) fn beat(&mut self, now: Time) {
        if now < self.beat_at {
            return;
        }
        self.beat_at = now + self.cfg.timing.centre_report_interval;
        if !self.is_centre_reporter() || self.roster.other_centres().next().is_none() {
            return;
        }
        let of_centre = self.roster.of_centre(self.me.peer.centre);
        let alive = of_centre.filter(|(_, m)| m.record.standing == Standing::Alive);
        let versions: Vec<(NodeId, Version)> = alive.map(|(node, m)| (node, m.version)).collect();
        let item = Item {
            kind: ItemKind::ConfigVersion,
            key: self.me.peer.centre.0.into(),
            body: postcard::to_stdvec(&Versions::of(&versions)).unwrap_or_default(),
            scope: Scope::Everywhere,
            ttl: self.cfg.timing.centre_report_interval * 4,
        };
        self.publish(item, now);
    }

    pub(crate) fn pinged(&mut self, from: NodeId, nonce: u32, digest: u32, now: Time) {
        let ack = Section::Ack {
            nonce,
            of: self.me.peer.node,
            generation: self.me.generation,
        };
        self.outbox.probe(from, ack);
        if self.sync_at <= now && self.digest(from, now) != digest {
            self.sync_at = now + SYNC_EVERY;
            let hashes = self.centre_hashes(from, now);
            self.outbox.state(from, Section::Centres(hashes));
        }
    }

    pub(crate) fn ping_for(&mut self, asker: NodeId, nonce: u32, target: NodeId, now: Time) {
        if !self.roster.is_mate(target) || target == self.me.peer.node {
            return;
        }
        if let Some(nonce) = self.prober.relay(asker, nonce, now) {
            self.ping(target, nonce, now);
        }
    }

    /// Notes that a member answered a probe.
    pub(crate) fn answered(&mut self, target: NodeId, generation: Generation, now: Time) {
        let Some(member) = self.roster.get_mut(target) else {
            return;
        };
        member.answered = Some(now);
        let known = member.record;
        if known.generation < generation {
            let record = Record {
                generation,
                standing: Standing::Alive,
                ..known
            };
            self.learn(record, Learned::Here, now);
        }
    }

    /// Refutes a claim against this node.
    pub(crate) fn refute(&mut self, claim: Record, now: Time) {
        let mine = self.me.generation;
        let theirs = claim.generation;
        let is_void = theirs < mine || !theirs.is_believable();
        if is_void || self.me.standing == Standing::Left {
            return;
        }
        let is_same_life = theirs.incarnation == mine.incarnation;
        self.me.generation = match claim.standing {
            Standing::Alive if theirs == mine => return,
            Standing::Left => Generation {
                incarnation: theirs.incarnation.next(),
                refutation: 0,
            },
            _ if is_same_life => Generation {
                refutation: theirs.refutation + 1,
                ..mine
            },
            // Another process had this id, or an earlier life a wrong clock.
            _ => Generation {
                incarnation: theirs.incarnation.next(),
                refutation: 0,
            },
        };
        self.roster.set_me(self.me);
        self.spread_record(self.me.peer.node, now);
    }

    /// Makes a claim that begins here.
    pub(crate) fn claim(&mut self, record: Record, now: Time) {
        self.learn(record, Learned::Here, now);
    }

    pub(crate) fn pass_record(&mut self, node: NodeId, learned: Learned, now: Time) {
        let spread = crate::item::Spread::SURE;
        self.spread(Rumor::Record(node), spread, Scope::Everywhere, learned, now);
    }

    fn suspect(&mut self, target: NodeId, now: Time) {
        let Some(member) = self.roster.get(target) else {
            return;
        };
        if member.record.standing != Standing::Alive || self.roster.has_answered(member, now) {
            return;
        }
        let record = Record {
            standing: Standing::Suspect,
            ..member.record
        };
        self.claim(record, now);
    }

    fn ping(&mut self, target: NodeId, nonce: u32, now: Time) {
        let digest = self.digest(target, now);
        self.outbox.probe(target, Section::Ping { nonce, digest });
    }
}
