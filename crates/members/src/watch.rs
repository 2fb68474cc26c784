//! Failure detection: probes, suspicion, refutation, reports between centres.

use std::time::Duration;

use crate::Generation;
use crate::Item;
use crate::ItemKind;
use crate::Members;
use crate::Scope;
use crate::Standing;
use crate::outbox::Rumor;
use crate::packet::Section;
use crate::prober::ProbeAction;
use crate::record::Record;
use crate::spread::LearnedFrom;
use crate::versions::Versions;
use base::NodeId;
use base::Time;
use base::Version;

/// Shortest time between two comparisons of state that a node begins.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);

impl Members {
    /// Sends the probes of the own data centre's members that are due, and suspects
    /// members that did not answer theirs.
    pub(crate) fn probe_local_peers(&mut self, now: Time) {
        let peers: Vec<NodeId> = self.roster.local_peers().collect();
        let of_centre = self.roster.members_in(self.me.peer.centre);
        let dead = of_centre.filter(|(_, member)| member.record.standing == Standing::Dead);
        let dead: Vec<NodeId> = dead.map(|(node, _)| node).collect();
        for action in self.prober.tick(&peers, &dead, &mut self.rng, now) {
            match action {
                ProbeAction::Ping { target, nonce } => self.ping(target, nonce, now),
                ProbeAction::RequestPings {
                    target,
                    nonce,
                    helpers,
                } => {
                    for helper in helpers {
                        let section = Section::PingFor { nonce, target };
                        self.outbox.queue_probe(helper, section);
                    }
                }
                ProbeAction::Failed { target } => self.suspect(target, now),
            }
        }
    }

    /// Pings contacts in the data centres for which this node is a contact. If a
    /// data centre is quiet, every node pings a random member of it instead.
    pub(crate) fn ping_contacts(&mut self, now: Time) {
        if now < self.next_contact_ping {
            return;
        }
        self.next_contact_ping = now + self.cfg.timing.contact_ping_interval;
        self.contact_turn = self.contact_turn.wrapping_add(1);
        let mut targets = Vec::new();
        for (centre, link) in self.links.iter() {
            if self.roster.is_quiet(centre, now) {
                let all = self.roster.members_in(centre);
                let not_left = all.filter(|(_, m)| m.record.standing < Standing::Left);
                let not_left: Vec<NodeId> = not_left.map(|(node, _)| node).collect();
                targets.extend(self.rng.choice(&not_left));
            } else if let Some(rank) = link.own_rank
                && !link.remote_contacts.is_empty()
            {
                let turn = (self.contact_turn + rank) % link.remote_contacts.len();
                targets.push(link.remote_contacts[turn]);
            }
        }
        for target in targets {
            let nonce = self.prober.next_nonce();
            self.ping(target, nonce, now);
        }
    }

    /// Reports to the other data centres which versions are in force in this one.
    pub(crate) fn report_centre_versions(&mut self, now: Time) {
        if now < self.next_centre_report {
            return;
        }
        self.next_centre_report = now + self.cfg.timing.centre_report_interval;
        if !self.is_centre_reporter() || self.roster.other_centres().next().is_none() {
            return;
        }
        let of_centre = self.roster.members_in(self.me.peer.centre);
        let alive = of_centre.filter(|(_, m)| m.record.standing == Standing::Alive);
        let versions: Vec<(NodeId, Version)> = alive.map(|(node, m)| (node, m.version)).collect();
        let item = Item {
            kind: ItemKind::ConfigVersion,
            key: self.me.peer.centre.0.into(),
            body: postcard::to_stdvec(&Versions::from_members(&versions)).unwrap_or_default(),
            scope: Scope::Everywhere,
            ttl: self.cfg.timing.centre_report_interval * 4,
        };
        self.publish(item, now);
    }

    pub(crate) fn handle_ping(&mut self, from: NodeId, nonce: u32, digest: u32, now: Time) {
        let ack = Section::Ack {
            nonce,
            of: self.me.peer.node,
            generation: self.me.generation,
        };
        self.outbox.queue_probe(from, ack);
        if self.next_sync <= now && self.digest(from, now) != digest {
            self.next_sync = now + SYNC_INTERVAL;
            let hashes = self.centre_hashes(from, now);
            self.outbox.queue_state(from, Section::Centres(hashes));
        }
    }

    pub(crate) fn relay_ping(&mut self, requester: NodeId, nonce: u32, target: NodeId, now: Time) {
        if !self.roster.is_local(target) || target == self.me.peer.node {
            return;
        }
        if let Some(nonce) = self.prober.start_relay(requester, nonce, now) {
            self.ping(target, nonce, now);
        }
    }

    pub(crate) fn note_answer(&mut self, target: NodeId, generation: Generation, now: Time) {
        let Some(member) = self.roster.get_mut(target) else {
            return;
        };
        member.last_answer = Some(now);
        let known = member.record;
        self.learn_generation(known, generation, now);
    }

    /// Refutes a claim about this node that contradicts its own record.
    pub(crate) fn refute(&mut self, claim: Record, now: Time) {
        let own = self.me.generation;
        let claimed = claim.generation;
        let is_ignored = claimed < own || !claimed.is_plausible();
        if is_ignored || self.me.standing == Standing::Left {
            return;
        }
        let is_same_incarnation = claimed.incarnation == own.incarnation;
        self.me.generation = match claim.standing {
            Standing::Alive if claimed == own => return,
            Standing::Left => Generation {
                incarnation: claimed.incarnation.next(),
                refutation: 0,
            },
            _ if is_same_incarnation => Generation {
                refutation: claimed.refutation + 1,
                ..own
            },
            // Another process had this id, or an earlier incarnation a wrong clock.
            _ => Generation {
                incarnation: claimed.incarnation.next(),
                refutation: 0,
            },
        };
        self.roster.set_own_record(self.me);
        self.spread_record(self.me.peer.node, now);
    }

    /// Applies and spreads a claim that this node makes itself.
    pub(crate) fn make_claim(&mut self, record: Record, now: Time) {
        self.learn(record, LearnedFrom::ThisNode, now);
    }

    pub(crate) fn forward_record(&mut self, node: NodeId, learned: LearnedFrom, now: Time) {
        let policy = crate::item::SpreadPolicy::RELIABLE;
        self.spread(Rumor::Record(node), policy, Scope::Everywhere, learned, now);
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
        self.make_claim(record, now);
    }

    fn ping(&mut self, target: NodeId, nonce: u32, now: Time) {
        let digest = self.digest(target, now);
        self.outbox
            .queue_probe(target, Section::Ping { nonce, digest });
    }
}
