//! How a rumor gets to all whom it concerns, and the datagrams it goes in.
//!
//! The node where it begins tells all members of its data centre. Those that
//! are contacts pass it to the contacts of the other data centres, who tell all
//! members there: three hops, and each node sends about as much as any other.

use crate::Members;
use crate::Packet;
use crate::Scope;
use crate::Standing;
use crate::item::ItemId;
use crate::item::Spread;
use crate::outbox::Rumor;
use crate::outbox::Urgency;
use crate::packet::Builder;
use crate::packet::DATAGRAM_OVERHEAD_BYTES;
use crate::packet::Header;
use crate::packet::Section;
use base::CentreId;
use base::NodeId;
use base::Time;

/// Datagrams to one receiver in one round.
const MAX_PACKETS: usize = 4;

/// From where this node has something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Learned {
    /// It begins here.
    Here,
    /// From a member of the own data centre.
    Mate,
    /// From another data centre.
    Elsewhere,
}

impl Members {
    /// The datagrams that are due. To be called after each tick, and may be
    /// called after each [`Members::receive`].
    pub fn take_packets(&mut self, now: Time) -> Vec<Packet> {
        let mut packets = Vec::new();
        for to in self.outbox.due(now) {
            let Some(member) = self.roster.get(to) else {
                self.outbox.forget(to);
                continue;
            };
            if member.record.standing == Standing::Left {
                self.outbox.forget(to);
                continue;
            }
            let addr = member.record.peer.addr;
            for _ in 0..MAX_PACKETS {
                let Some(urgency) = self.outbox.queue_mut(to).urgency(now) else {
                    break;
                };
                if !self.outbox.may_send(urgency) {
                    break;
                }
                let bytes = self.build(to, now);
                self.outbox
                    .spend(to, urgency, bytes.len() + DATAGRAM_OVERHEAD_BYTES);
                packets.push(Packet { to, addr, bytes });
            }
        }
        packets
    }

    /// One datagram of what is due for a receiver.
    fn build(&mut self, to: NodeId, now: Time) -> Vec<u8> {
        let header = Header {
            generation: self.me.generation,
            version: self.version,
            newest: self.newest,
        };
        let mut builder = Builder::open(&header);
        let rumors = self.outbox.queue_mut(to).due(now);
        if let Some(accusation) = self.accusation(to) {
            builder.add(&accusation);
        }
        builder.drain(&mut self.outbox.queue_mut(to).probes);
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
            builder.drain(&mut self.outbox.queue_mut(to).state);
        }
        self.outbox.told(to, &told, now);
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
            Rumor::Item(id) => self.board.parcel(id, now).map(Section::Item),
        }
    }

    pub(crate) fn spread_record(&mut self, node: NodeId, now: Time) {
        let learned = match node == self.me.peer.node || self.roster.is_mate(node) {
            true => Learned::Here,
            false => Learned::Elsewhere,
        };
        let rumor = Rumor::Record(node);
        self.spread(rumor, Spread::SURE, Scope::Everywhere, learned, now);
    }

    pub(crate) fn spread_item(&mut self, id: ItemId, now: Time) {
        self.pass_item(id, Learned::Here, now);
    }

    /// Passes on an item that has just been learned.
    pub(crate) fn pass_item(&mut self, id: ItemId, learned: Learned, now: Time) {
        let Some(parcel) = self.board.parcel(id, now) else {
            return;
        };
        let spread = id.kind.spread();
        self.spread(Rumor::Item(id), spread, parcel.scope, learned, now);
    }

    pub(crate) fn spread_newest(&mut self, now: Time) {
        self.pass_newest(Learned::Here, now);
    }

    pub(crate) fn pass_newest(&mut self, learned: Learned, now: Time) {
        let spread = Spread::SURE;
        self.spread(Rumor::Header, spread, Scope::Everywhere, learned, now);
    }

    /// Tells the own data centre that a version can be had here, if few others
    /// there have it.
    pub(crate) fn offer_version(&mut self, now: Time) {
        let me = self.me.peer.node;
        let mates = self.roster.mates();
        let having = mates.filter(|mate| {
            let member = self.roster.get(*mate);
            *mate != me && member.is_some_and(|m| self.version <= m.version)
        });
        if having.count() < 2 {
            self.tell_mates(Rumor::Header, 1, Urgency::High, now);
        }
    }

    pub(crate) fn spread(
        &mut self,
        rumor: Rumor,
        spread: Spread,
        scope: Scope,
        learned: Learned,
        now: Time,
    ) {
        let spread = match learned {
            Learned::Here => spread,
            Learned::Mate | Learned::Elsewhere => spread.relayed(),
        };
        match learned {
            Learned::Here => {
                self.tell_mates(rumor, spread.repeats, spread.urgency, now);
                self.tell_centres(rumor, spread, scope, now);
            }
            Learned::Mate => {
                self.gossip(rumor, spread, now);
                self.tell_centres(rumor, spread, scope, now);
            }
            Learned::Elsewhere => {
                self.tell_mates(rumor, spread.repeats, spread.urgency, now);
            }
        }
    }

    fn tell_mates(&mut self, rumor: Rumor, repeats: u8, urgency: Urgency, now: Time) {
        let mates: Vec<NodeId> = self.roster.mates().collect();
        for mate in mates {
            self.outbox.tell(mate, rumor, repeats, urgency, now);
        }
    }

    /// Passes a rumor to a few members of the own data centre, in case the
    /// teller cannot reach them.
    fn gossip(&mut self, rumor: Rumor, spread: Spread, now: Time) {
        let mates = self.roster.mates();
        let some = self.rng.choose_multiple(mates, spread.gossip);
        for mate in some {
            self.outbox.tell(mate, rumor, 1, spread.urgency, now);
        }
    }

    /// Passes a rumor of the own data centre to the others, where this node is
    /// a contact.
    fn tell_centres(&mut self, rumor: Rumor, spread: Spread, scope: Scope, now: Time) {
        if scope == Scope::Centre || !self.is_of(rumor, self.me.peer.centre) {
            return;
        }
        for (_, link) in self.links.iter() {
            if link.rank.is_none_or(|rank| spread.senders <= rank) {
                continue;
            }
            for other in link.others.iter().take(spread.paths) {
                let urgency = spread.urgency;
                self.outbox
                    .tell(*other, rumor, spread.repeats, urgency, now);
            }
        }
    }

    /// Whether a rumor begins in a data centre. A version may begin anywhere.
    fn is_of(&self, rumor: Rumor, centre: CentreId) -> bool {
        let about = match rumor {
            Rumor::Header => return true,
            Rumor::Record(node) => node,
            Rumor::Item(id) => id.origin,
        };
        self.roster.centre_of(about) == Some(centre)
    }
}
