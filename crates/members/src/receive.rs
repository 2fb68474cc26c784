//! What a datagram from another member does.

use crate::ItemKind;
use crate::ItemUpdate;
use crate::Members;
use crate::Standing;
use crate::board::Taken;
use crate::item::ItemId;
use crate::item::Parcel;
use crate::packet;
use crate::packet::Header;
use crate::packet::Section;
use crate::prober::Answer;
use crate::record::Record;
use crate::roster::Claim;
use crate::spread::Learned;
use crate::versions::Versions;
use base::NodeId;
use base::Time;

impl Members {
    /// Takes in a datagram whose tag proved that it comes from a node of the
    /// system. One that is malformed, from an unknown member or from a former
    /// life of a member changes nothing.
    pub fn receive(&mut self, from: NodeId, bytes: &[u8], now: Time) {
        if from == self.me.peer.node {
            return;
        }
        let Some((header, sections)) = packet::decode(bytes) else {
            return;
        };
        for section in &sections {
            if let Section::Record(record) = section
                && record.peer.node == from
            {
                self.learn(*record, Learned::Mate, now);
            }
        }
        if !self.accept(from, header, now) {
            return;
        }
        for section in sections {
            self.take_section(from, section, now);
        }
    }

    /// Takes in the sender's own state. False if the datagram is not to be used.
    fn accept(&mut self, from: NodeId, header: Header, now: Time) -> bool {
        let Some(member) = self.roster.get(from) else {
            return false;
        };
        let known = member.record;
        let generation = header.generation;
        let is_former = generation.incarnation < known.generation.incarnation;
        if is_former || !generation.is_believable() {
            return false;
        }
        if known.generation < generation {
            let record = Record {
                generation,
                standing: Standing::Alive,
                ..known
            };
            self.learn(record, Learned::Here, now);
        }
        self.roster.hear(known.peer.centre, now);
        if let Some(member) = self.roster.get_mut(from) {
            member.version = member.version.max(header.version);
        }
        if self.newest < header.newest {
            self.newest = header.newest;
            self.pass_newest(self.learned_from(from), now);
        }
        true
    }

    fn take_section(&mut self, from: NodeId, section: Section, now: Time) {
        match section {
            Section::Ping { nonce, digest } => self.pinged(from, nonce, digest, now),
            Section::Ack {
                nonce,
                of,
                generation,
            } => {
                let answer = self.prober.answer(nonce, of);
                match answer {
                    Some(Answer::Mine(target)) => self.answered(target, generation, now),
                    Some(Answer::For { asker, nonce }) if of == from => {
                        let ack = Section::Ack {
                            nonce,
                            of,
                            generation,
                        };
                        self.outbox.probe(asker, ack);
                    }
                    _ => {}
                }
            }
            Section::PingFor { nonce, target } => self.ping_for(from, nonce, target, now),
            Section::Record(record) => self.learn(record, self.learned_from(from), now),
            Section::State(record) => self.take_state(record, now),
            Section::Item(parcel) => self.take_item(from, &parcel, now),
            Section::Centres(theirs) => self.compare_centres(from, &theirs, now),
            Section::Origins(centre, theirs) => self.compare_origins(from, centre, &theirs, now),
            Section::Want(nodes) => self.give(from, &nodes, now),
        }
    }

    pub(crate) fn learned_from(&self, from: NodeId) -> Learned {
        match self.roster.is_mate(from) {
            true => Learned::Mate,
            false => Learned::Elsewhere,
        }
    }

    /// Takes in a claim and passes it on if it is new.
    pub(crate) fn learn(&mut self, record: Record, learned: Learned, now: Time) {
        let node = record.peer.node;
        if node == self.me.peer.node {
            self.refute(record, now);
            return;
        }
        match self.roster.apply(record, now) {
            Claim::Known => {}
            Claim::Contradicted => self.outbox.probe(node, Section::State(record)),
            Claim::Changed => {
                self.roster.hear(record.peer.centre, now);
                self.pass_record(node, learned, now);
            }
        }
    }

    /// Takes in a claim that need not be passed on.
    fn take_state(&mut self, record: Record, now: Time) {
        if record.peer.node == self.me.peer.node {
            self.refute(record, now);
            return;
        }
        if self.roster.apply(record, now) == Claim::Contradicted {
            let accused = record.peer.node;
            self.outbox.probe(accused, Section::State(record));
        }
    }

    fn take_item(&mut self, from: NodeId, parcel: &Parcel, now: Time) {
        let id = parcel.id;
        let is_known = self.roster.get(id.origin).is_some();
        if id.origin == self.me.peer.node || !is_known || !self.concerns(parcel.scope, id.origin) {
            return;
        }
        let taken = self.board.take(parcel, now);
        if taken == Taken::Known {
            return;
        }
        if let Some(centre) = self.roster.centre_of(id.origin) {
            self.roster.hear(centre, now);
        }
        self.pass_item(id, self.learned_from(from), now);
        if id.kind == ItemKind::ConfigVersion {
            self.take_versions(id, &parcel.body);
            return;
        }
        if taken == Taken::Changed
            && let Some(item) = self.board.item(id, now)
        {
            let origin = id.origin;
            self.news.push(ItemUpdate { origin, item });
        }
    }

    /// Takes in which versions are in force in another data centre.
    fn take_versions(&mut self, id: ItemId, body: &[u8]) {
        let centre = self.roster.centre_of(id.origin);
        let Ok(versions) = postcard::from_bytes::<Versions>(body) else {
            return;
        };
        let Some(centre) = centre.filter(|centre| u64::from(centre.0) == id.key) else {
            return;
        };
        let nodes: Vec<NodeId> = self
            .roster
            .of_centre(centre)
            .map(|(node, _)| node)
            .collect();
        for node in nodes {
            if let Some(member) = self.roster.get_mut(node)
                && member.record.standing == Standing::Alive
            {
                member.version = member.version.max(versions.of_node(node));
            }
        }
    }
}
