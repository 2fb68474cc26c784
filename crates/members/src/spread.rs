//! How a rumor gets to all whom it scope_includes, and the datagrams it goes in.
//!
//! The node where it begins tells all members of its data centre. Those that
//! are contacts pass it to the contacts of the other data centres, who tell all
//! members there: three hops, and each node sends about as much as any other.

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

/// Datagrams to one receiver in one round.
const MAX_DATAGRAMS_PER_RECEIVER: usize = 4;

/// From where this node has something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LearnedFrom {
    /// It begins here.
    ThisNode,
    /// From a member of the own data centre.
    LocalPeer,
    /// From another data centre.
    OtherCentre,
}

impl Members {
    /// The datagrams that are due. To be called after each tick, and may be
    /// called after each [`Members::receive`].
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

    /// One datagram of what is due for a receiver.
    fn build(&mut self, to: NodeId, now: Time) -> Vec<u8> {
        let header = Header {
            generation: self.me.generation,
            version: self.own_version,
            newest: self.newest_version,
        };
        let mut builder = DatagramBuilder::new(&header);
        let rumors = self.outbox.queue_mut(to).due_rumors(now);
        if let Some(accusation) = self.accusation(to) {
            builder.add(&accusation);
        }
        builder.add_from(&mut self.outbox.queue_mut(to).probes);
        let mut told = Vec::new();
        for (urgency, rumor) in rumors {
            if !self.outbox.may_send(urgency) {
                break;
            }
            let section = self.section(rumor, now);
            if section.is_some_and(|section| !builder.add(&section)) {
                break;
            }
            told.push(rumor);
        }
        if self.outbox.may_send(Urgency::Low) {
            builder.add_from(&mut self.outbox.queue_mut(to).state);
        }
        self.outbox.mark_sent(to, &told, now);
        builder.into_bytes()
    }

    /// What a receiver must refute if it is alive.
    fn accusation(&self, to: NodeId) -> Option<Section> {
        let record = self.roster.get(to)?.record;
        let is_accused = matches!(record.standing, Standing::Suspect | Standing::Dead);
        let is_heard = record.generation != crate::Generation::default();
        (is_accused && is_heard).then_some(Section::State(record))
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

    /// Passes on an item that has just been learned.
    pub(crate) fn forward_item(&mut self, id: ItemId, learned: LearnedFrom, now: Time) {
        let Some(message) = self.item_store.message(id, now) else {
            return;
        };
        let spread = id.kind.spread_policy();
        self.spread(Rumor::Item(id), spread, message.scope, learned, now);
    }

    pub(crate) fn spread_newest(&mut self, now: Time) {
        self.forward_newest(LearnedFrom::ThisNode, now);
    }

    pub(crate) fn forward_newest(&mut self, learned: LearnedFrom, now: Time) {
        let spread = SpreadPolicy::RELIABLE;
        self.spread(Rumor::Header, spread, Scope::Everywhere, learned, now);
    }

    /// Tells the own data centre that a version can be had here, if few others
    /// there have it.
    pub(crate) fn announce_own_version(&mut self, now: Time) {
        let me = self.me.peer.node;
        let peers = self.roster.local_peers();
        let having = peers.filter(|peer| {
            let member = self.roster.get(*peer);
            *peer != me && member.is_some_and(|m| self.own_version <= m.version)
        });
        if having.count() < 2 {
            self.queue_for_local_peers(Rumor::Header, 1, Urgency::High, now);
        }
    }

    pub(crate) fn spread(
        &mut self,
        rumor: Rumor,
        spread: SpreadPolicy,
        scope: Scope,
        learned: LearnedFrom,
        now: Time,
    ) {
        let spread = match learned {
            LearnedFrom::ThisNode => spread,
            LearnedFrom::LocalPeer | LearnedFrom::OtherCentre => spread.relayed(),
        };
        match learned {
            LearnedFrom::ThisNode => {
                self.queue_for_local_peers(rumor, spread.repeats, spread.urgency, now);
                self.queue_for_other_centres(rumor, spread, scope, now);
            }
            LearnedFrom::LocalPeer => {
                self.queue_for_random_local_peers(rumor, spread, now);
                self.queue_for_other_centres(rumor, spread, scope, now);
            }
            LearnedFrom::OtherCentre => {
                self.queue_for_local_peers(rumor, spread.repeats, spread.urgency, now);
            }
        }
    }

    fn queue_for_local_peers(&mut self, rumor: Rumor, repeats: u8, urgency: Urgency, now: Time) {
        let peers: Vec<NodeId> = self.roster.local_peers().collect();
        for peer in peers {
            self.outbox.queue_rumor(peer, rumor, repeats, urgency, now);
        }
    }

    /// Passes a rumor to a few members of the own data centre, in case the
    /// teller cannot reach them.
    fn queue_for_random_local_peers(&mut self, rumor: Rumor, spread: SpreadPolicy, now: Time) {
        let peers = self.roster.local_peers();
        let some = self.rng.choose_multiple(peers, spread.gossip);
        for peer in some {
            self.outbox.queue_rumor(peer, rumor, 1, spread.urgency, now);
        }
    }

    /// Passes a rumor of the own data centre to the others, where this node is
    /// a contact.
    fn queue_for_other_centres(
        &mut self,
        rumor: Rumor,
        spread: SpreadPolicy,
        scope: Scope,
        now: Time,
    ) {
        if scope == Scope::Centre || !self.originates_in(rumor, self.me.peer.centre) {
            return;
        }
        for (_, link) in self.links.iter() {
            if link.own_rank.is_none_or(|rank| spread.senders <= rank) {
                continue;
            }
            for other in link.remote_contacts.iter().take(spread.paths) {
                let urgency = spread.urgency;
                self.outbox
                    .queue_rumor(*other, rumor, spread.repeats, urgency, now);
            }
        }
    }

    /// Whether a rumor begins in a data centre. A version may begin anywhere.
    fn originates_in(&self, rumor: Rumor, centre: CentreId) -> bool {
        let about = match rumor {
            Rumor::Header => return true,
            Rumor::Record(node) => node,
            Rumor::Item(id) => id.origin,
        };
        self.roster.centre_of(about) == Some(centre)
    }
}
