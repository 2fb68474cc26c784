//! Handles the datagrams of other members.

use crate::Generation;
use crate::ItemKind;
use crate::ItemUpdate;
use crate::Members;
use crate::Standing;
use crate::item::ItemId;
use crate::item::ItemMessage;
use crate::item_store::StoreOutcome;
use crate::packet;
use crate::packet::Header;
use crate::packet::Section;
use crate::prober::AckMatch;
use crate::record::Record;
use crate::roster::ClaimOutcome;
use crate::spread::LearnedFrom;
use crate::versions::Versions;
use base::NodeId;
use base::Time;

impl Members {
    /// Handles a datagram whose authentication tag was valid. One that is
    /// malformed, from an unknown member or from an earlier incarnation of a
    /// member is ignored.
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
                self.learn(*record, LearnedFrom::LocalPeer, now);
            }
        }
        if !self.accept_header(from, header, now) {
            return;
        }
        for section in sections {
            self.handle_section(from, section, now);
        }
    }

    /// Applies the sender's own state. False if the datagram must be ignored.
    fn accept_header(&mut self, from: NodeId, header: Header, now: Time) -> bool {
        let Some(member) = self.roster.get(from) else {
            return false;
        };
        let known = member.record;
        let generation = header.generation;
        let is_earlier_incarnation = generation.incarnation < known.generation.incarnation;
        if is_earlier_incarnation || !generation.is_plausible() {
            return false;
        }
        self.learn_generation(known, generation, now);
        self.roster.note_heard_from(known.peer.centre, now);
        if let Some(member) = self.roster.get_mut(from) {
            member.version = member.version.max(header.version);
        }
        if self.newest_version < header.newest {
            self.newest_version = header.newest;
            self.forward_newest(self.learned_from(from), now);
        }
        true
    }

    fn handle_section(&mut self, from: NodeId, section: Section, now: Time) {
        match section {
            Section::Ping { nonce, digest } => self.handle_ping(from, nonce, digest, now),
            Section::Ack {
                nonce,
                of,
                generation,
            } => {
                let answer = self.prober.match_ack(nonce, of);
                match answer {
                    Some(AckMatch::OwnProbe(target)) => self.note_answer(target, generation, now),
                    Some(AckMatch::Relayed { requester, nonce }) if of == from => {
                        let ack = Section::Ack {
                            nonce,
                            of,
                            generation,
                        };
                        self.outbox.queue_probe(requester, ack);
                    }
                    _ => {}
                }
            }
            Section::PingFor { nonce, target } => self.relay_ping(from, nonce, target, now),
            Section::Record(record) => self.learn(record, self.learned_from(from), now),
            Section::State(record) => self.handle_state(record, now),
            Section::Item(message) => self.handle_item(from, &message, now),
            Section::Centres(theirs) => self.compare_centres(from, &theirs, now),
            Section::Origins(centre, theirs) => self.compare_origins(from, centre, &theirs, now),
            Section::Want(nodes) => self.send_states(from, &nodes, now),
        }
    }

    pub(crate) fn learned_from(&self, from: NodeId) -> LearnedFrom {
        match self.roster.is_local(from) {
            true => LearnedFrom::LocalPeer,
            false => LearnedFrom::OtherCentre,
        }
    }

    /// Applies what a member itself shows: that it lives, in this generation.
    pub(crate) fn learn_generation(&mut self, known: Record, generation: Generation, now: Time) {
        if known.generation < generation {
            let record = Record {
                generation,
                standing: Standing::Alive,
                ..known
            };
            self.learn(record, LearnedFrom::ThisNode, now);
        }
    }

    /// Applies a claim about a member and forwards it if it is new.
    pub(crate) fn learn(&mut self, record: Record, learned: LearnedFrom, now: Time) {
        let node = record.peer.node;
        if node == self.me.peer.node {
            self.refute(record, now);
            return;
        }
        match self.roster.apply(record, now) {
            ClaimOutcome::Ignored => {}
            ClaimOutcome::Contradicted => self.outbox.queue_probe(node, Section::State(record)),
            ClaimOutcome::Changed => {
                self.roster.note_heard_from(record.peer.centre, now);
                self.forward_record(node, learned, now);
            }
        }
    }

    /// Applies a claim about a member that is meant for this node alone.
    fn handle_state(&mut self, record: Record, now: Time) {
        if record.peer.node == self.me.peer.node {
            self.refute(record, now);
            return;
        }
        if self.roster.apply(record, now) == ClaimOutcome::Contradicted {
            let node = record.peer.node;
            self.outbox.queue_probe(node, Section::State(record));
        }
    }

    fn handle_item(&mut self, from: NodeId, message: &ItemMessage, now: Time) {
        let id = message.id;
        let is_known = self.roster.get(id.origin).is_some();
        if id.origin == self.me.peer.node
            || !is_known
            || !self.scope_includes(message.scope, id.origin)
        {
            return;
        }
        let outcome = self.item_store.insert_received(message, now);
        if outcome == StoreOutcome::Ignored {
            return;
        }
        if let Some(centre) = self.roster.centre_of(id.origin) {
            self.roster.note_heard_from(centre, now);
        }
        self.forward_item(id, self.learned_from(from), now);
        if id.kind == ItemKind::ConfigVersion {
            self.handle_centre_versions(id, &message.body);
            return;
        }
        if outcome == StoreOutcome::Changed
            && let Some(item) = self.item_store.item(id, now)
        {
            let origin = id.origin;
            self.item_updates.push(ItemUpdate { origin, item });
        }
    }

    /// Applies the versions in force that another data centre reports.
    fn handle_centre_versions(&mut self, id: ItemId, body: &[u8]) {
        let centre = self.roster.centre_of(id.origin);
        let Ok(versions) = postcard::from_bytes::<Versions>(body) else {
            return;
        };
        let Some(centre) = centre.filter(|centre| u64::from(centre.0) == id.key) else {
            return;
        };
        let nodes: Vec<NodeId> = self
            .roster
            .members_in(centre)
            .map(|(node, _)| node)
            .collect();
        for node in nodes {
            if let Some(member) = self.roster.get_mut(node)
                && member.record.standing == Standing::Alive
            {
                member.version = member.version.max(versions.version_of(node));
            }
        }
    }
}
