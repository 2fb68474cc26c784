//! Spreads rumors to all members that they are meant for, and builds datagrams.
//!
//! The node where a rumor begins sends it to all members of its data centre.
//! Those that are contacts forward it to the contacts of the other data centres,
//! which send it to all members there. This takes three hops, and all nodes send
//! about the same amount.

use crate::Members;
use crate::Packet;
use crate::Scope;
use crate::Standing;
use crate::item::ItemId;
use crate::item::SpreadPolicy;
use crate::outbox::Rumor;
use crate::outbox::Urgency;
use crate::packet::DATAGRAM_OVERHEAD_BYTES;
use crate::packet::DatagramBuilder;
use crate::packet::Header;
use crate::packet::Section;
use base::CentreId;
use base::NodeId;
use base::Time;

/// The most datagrams to one receiver in one round.
const MAX_DATAGRAMS_PER_RECEIVER: usize = 4;

/// From where this node learned a rumor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LearnedFrom {
    /// The rumor begins at this node.
    ThisNode,
    LocalPeer,
    OtherCentre,
}

impl Members {
    /// Takes the datagrams that are due. Call it after each [`Members::tick`]. It
    /// may be called after each [`Members::receive`].
    pub fn take_packets(&mut self, now: Time) -> Vec<Packet> {
        let mut packets = Vec::new();
        for to in self.outbox.receivers_due(now) {
            let Some(member) = self.roster.get(to) else {
                self.outbox.drop_queue(to);
                continue;
            };
            if member.record.standing == Standing::Left {
                self.outbox.drop_queue(to);
                continue;
            }
            let addr = member.record.peer.addr;
            for _ in 0..MAX_DATAGRAMS_PER_RECEIVER {
                let Some(urgency) = self.outbox.queue_mut(to).urgency(now) else {
                    break;
                };
                if !self.outbox.may_send(urgency) {
                    break;
                }
                let bytes = self.build(to, now);
                self.outbox
                    .record_sent(to, urgency, bytes.len() + DATAGRAM_OVERHEAD_BYTES);
                packets.push(Packet { to, addr, bytes });
            }
        }
        packets
    }

    /// Builds one datagram of what is due to a receiver.
    fn build(&mut self, to: NodeId, now: Time) -> Vec<u8> {
        let header = Header {
            generation: self.me.generation,
            version: self.own_version,
            newest: self.newest_version,
        };
        let mut builder = DatagramBuilder::new(&header);
        let rumors = self.outbox.queue_mut(to).due_rumors(now);
        if let Some(claim) = self.claim_against(to) {
            builder.add(&claim);
        }
        builder.add_from(&mut self.outbox.queue_mut(to).probes);
        let mut sent_rumors = Vec::new();
        for (urgency, rumor) in rumors {
            if !self.outbox.may_send(urgency) {
                break;
            }
            let section = self.section(rumor, now);
            if section.is_some_and(|section| !builder.add(&section)) {
                break;
            }
            sent_rumors.push(rumor);
        }
        if self.outbox.may_send(Urgency::Low) {
            builder.add_from(&mut self.outbox.queue_mut(to).state);
        }
        self.outbox.mark_sent(to, &sent_rumors, now);
        builder.into_bytes()
    }

    /// The claim that a receiver is suspect or dead, for it to refute.
    fn claim_against(&self, to: NodeId) -> Option<Section> {
        let record = self.roster.get(to)?.record;
        let is_suspect_or_dead = matches!(record.standing, Standing::Suspect | Standing::Dead);
        let is_heard = record.generation != crate::Generation::default();
        (is_suspect_or_dead && is_heard).then_some(Section::State(record))
    }

    fn section(&self, rumor: Rumor, now: Time) -> Option<Section> {
        match rumor {
            Rumor::Header => None,
            Rumor::Record(node) => Some(Section::Record(self.roster.get(node)?.record)),
            Rumor::Item(id) => self.item_store.message(id, now).map(Section::Item),
        }
    }

    pub(crate) fn spread_record(&mut self, node: NodeId, now: Time) {
        let learned = match node == self.me.peer.node || self.roster.is_local(node) {
            true => LearnedFrom::ThisNode,
            false => LearnedFrom::OtherCentre,
        };
        let rumor = Rumor::Record(node);
        self.spread(
            rumor,
            SpreadPolicy::RELIABLE,
            Scope::Everywhere,
            learned,
            now,
        );
    }

    pub(crate) fn spread_item(&mut self, id: ItemId, now: Time) {
        self.forward_item(id, LearnedFrom::ThisNode, now);
    }

    pub(crate) fn forward_item(&mut self, id: ItemId, learned: LearnedFrom, now: Time) {
        let Some(message) = self.item_store.message(id, now) else {
            return;
        };
        let policy = id.kind.spread_policy();
        self.spread(Rumor::Item(id), policy, message.scope, learned, now);
    }

    pub(crate) fn spread_newest(&mut self, now: Time) {
        self.forward_newest(LearnedFrom::ThisNode, now);
    }

    pub(crate) fn forward_newest(&mut self, learned: LearnedFrom, now: Time) {
        let policy = SpreadPolicy::RELIABLE;
        self.spread(Rumor::Header, policy, Scope::Everywhere, learned, now);
    }

    /// Tells the members of the own data centre that this node has a version, if
    /// fewer than two others have it.
    pub(crate) fn announce_own_version(&mut self, now: Time) {
        let me = self.me.peer.node;
        let peers = self.roster.local_peers();
        let up_to_date = peers.filter(|peer| {
            let member = self.roster.get(*peer);
            *peer != me && member.is_some_and(|m| self.own_version <= m.version)
        });
        if up_to_date.count() < 2 {
            self.queue_for_local_peers(Rumor::Header, 1, Urgency::High, now);
        }
    }

    pub(crate) fn spread(
        &mut self,
        rumor: Rumor,
        policy: SpreadPolicy,
        scope: Scope,
        learned: LearnedFrom,
        now: Time,
    ) {
        let policy = match learned {
            LearnedFrom::ThisNode => policy,
            LearnedFrom::LocalPeer | LearnedFrom::OtherCentre => policy.relayed(),
        };
        match learned {
            LearnedFrom::ThisNode => {
                self.queue_for_local_peers(rumor, policy.repeats, policy.urgency, now);
                self.queue_for_other_centres(rumor, policy, scope, now);
            }
            LearnedFrom::LocalPeer => {
                self.queue_for_random_local_peers(rumor, policy, now);
                self.queue_for_other_centres(rumor, policy, scope, now);
            }
            LearnedFrom::OtherCentre => {
                self.queue_for_local_peers(rumor, policy.repeats, policy.urgency, now);
            }
        }
    }

    fn queue_for_local_peers(&mut self, rumor: Rumor, repeats: u8, urgency: Urgency, now: Time) {
        let peers: Vec<NodeId> = self.roster.local_peers().collect();
        for peer in peers {
            self.outbox.queue_rumor(peer, rumor, repeats, urgency, now);
        }
    }

    /// Forwards a rumor to a few members of the own data centre, in case its
    /// sender cannot reach them.
    fn queue_for_random_local_peers(&mut self, rumor: Rumor, policy: SpreadPolicy, now: Time) {
        let peers = self.roster.local_peers();
        let chosen = self.rng.choose_multiple(peers, policy.gossip);
        for peer in chosen {
            self.outbox.queue_rumor(peer, rumor, 1, policy.urgency, now);
        }
    }

    /// Forwards a rumor of the own data centre to those for which this node is a
    /// contact.
    fn queue_for_other_centres(
        &mut self,
        rumor: Rumor,
        policy: SpreadPolicy,
        scope: Scope,
        now: Time,
    ) {
        if scope == Scope::Centre || !self.originates_in(rumor, self.me.peer.centre) {
            return;
        }
        for (_, link) in self.links.iter() {
            if link.own_rank.is_none_or(|rank| policy.senders <= rank) {
                continue;
            }
            for other in link.remote_contacts.iter().take(policy.paths) {
                let urgency = policy.urgency;
                self.outbox
                    .queue_rumor(*other, rumor, policy.repeats, urgency, now);
            }
        }
    }

    /// Whether a rumor may begin in a data centre. A version may begin in any.
    fn originates_in(&self, rumor: Rumor, centre: CentreId) -> bool {
        let about = match rumor {
            Rumor::Header => return true,
            Rumor::Record(node) => node,
            Rumor::Item(id) => id.origin,
        };
        self.roster.centre_of(about) == Some(centre)
    }
}
