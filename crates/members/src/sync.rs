//! Brings two members to the same state, whatever they missed (anti-entropy).
//!
//! Each ping carries a hash of all that both should know. If it differs, they
//! compare hashes by data centre, then by member, and send what differs. The cost
//! does not depend on how much was missed.

use std::collections::BTreeMap;

use crate::Generation;
use crate::Members;
use crate::item::ItemId;
use crate::packet::Section;
use base::CentreId;
use base::NodeId;
use base::Time;

/// The most data centres compared in one exchange.
const MAX_COMPARED_CENTRES: usize = 4;

/// The most members compared in one exchange.
const MAX_COMPARED_MEMBERS: usize = 64;

impl Members {
    /// A hash of all that a member should know too.
    pub(crate) fn digest(&self, with: NodeId, now: Time) -> u32 {
        let records = self.roster.hashes().map(|(_, hash)| hash);
        let items = self.item_store.hashes(now);
        let items = items.filter(|(_, scope, _)| self.scope_includes(*scope, with));
        let all = records.chain(items.map(|(_, _, hash)| hash));
        all.fold(0, |sum, hash| sum.wrapping_add(hash as u32))
    }

    /// Hashes by data centre.
    pub(crate) fn centre_hashes(&self, with: NodeId, now: Time) -> Vec<(CentreId, u32)> {
        let mut sums: BTreeMap<CentreId, u32> = BTreeMap::new();
        for (node, hash) in self.hashes(with, now) {
            let Some(centre) = self.roster.centre_of(node) else {
                continue;
            };
            let sum = sums.entry(centre).or_default();
            *sum = sum.wrapping_add(hash);
        }
        sums.into_iter().collect()
    }

    /// Answers hashes by data centre with hashes by member where they differ.
    pub(crate) fn compare_centres(&mut self, from: NodeId, theirs: &[(CentreId, u32)], now: Time) {
        let mine = self.centre_hashes(from, now);
        let mut differing: Vec<CentreId> = mine
            .iter()
            .filter(|entry| !theirs.contains(entry))
            .map(|(centre, _)| *centre)
            .collect();
        let has_hash = |centre: &CentreId| mine.iter().any(|(other, _)| other == centre);
        let their_centres = theirs.iter().map(|(centre, _)| *centre);
        differing.extend(their_centres.filter(|centre| !has_hash(centre)));
        self.rng.shuffle(&mut differing);
        for centre in differing.into_iter().take(MAX_COMPARED_CENTRES) {
            let section = Section::Origins(centre, self.member_hashes(centre, from, now));
            self.outbox.queue_state(from, section);
        }
    }

    /// Answers hashes by member with what differs, and asks for the sender's state.
    pub(crate) fn compare_origins(
        &mut self,
        from: NodeId,
        centre: CentreId,
        theirs: &[(NodeId, u32)],
        now: Time,
    ) {
        let mine = self.hashes(from, now);
        let mut wanted = Vec::new();
        for (node, hash) in theirs.iter().take(MAX_COMPARED_MEMBERS) {
            if mine.get(node) != Some(hash) {
                wanted.push(*node);
                self.send_state(from, *node, now);
            }
        }
        let is_listed = |node: &NodeId| theirs.iter().any(|(other, _)| other == node);
        let lists_all = theirs.len() < MAX_COMPARED_MEMBERS;
        let of_centre = self.roster.members_in(centre).map(|(node, _)| node);
        let unlisted = of_centre.filter(|node| lists_all && !is_listed(node));
        let unlisted: Vec<NodeId> = unlisted.take(MAX_COMPARED_MEMBERS).collect();
        for node in unlisted {
            self.send_state(from, node, now);
        }
        if !wanted.is_empty() {
            self.outbox.queue_state(from, Section::Want(wanted));
        }
    }

    pub(crate) fn send_states(&mut self, to: NodeId, nodes: &[NodeId], now: Time) {
        for node in nodes.iter().take(MAX_COMPARED_MEMBERS) {
            self.send_state(to, *node, now);
        }
    }

    fn send_state(&mut self, to: NodeId, of: NodeId, now: Time) {
        if let Some(member) = self.roster.get(of)
            && member.record.generation != Generation::default()
        {
            self.outbox.queue_state(to, Section::State(member.record));
        }
        let items = self.item_store.hashes(now).filter(|(id, scope, _)| {
            let is_in_scope = self.scope_includes(*scope, to);
            id.origin == of && is_in_scope
        });
        let ids: Vec<ItemId> = items.map(|(id, ..)| id).collect();
        for message in ids
            .into_iter()
            .filter_map(|id| self.item_store.message(id, now))
        {
            self.outbox.queue_state(to, Section::Item(message));
        }
    }

    /// Hashes by member of one data centre, a random selection if they are many.
    fn member_hashes(&mut self, centre: CentreId, with: NodeId, now: Time) -> Vec<(NodeId, u32)> {
        let all = self.hashes(with, now).into_iter();
        let of_centre = all.filter(|(node, _)| self.roster.centre_of(*node) == Some(centre));
        let of_centre: Vec<(NodeId, u32)> = of_centre.collect();
        if of_centre.len() < MAX_COMPARED_MEMBERS {
            return of_centre;
        }
        self.rng.choose_multiple(of_centre, MAX_COMPARED_MEMBERS)
    }

    fn hashes(&self, with: NodeId, now: Time) -> BTreeMap<NodeId, u32> {
        let records = self.roster.hashes();
        let mut hashes: BTreeMap<NodeId, u32> =
            records.map(|(node, hash)| (node, hash as u32)).collect();
        for (id, scope, hash) in self.item_store.hashes(now) {
            if self.scope_includes(scope, with) {
                let sum = hashes.entry(id.origin).or_default();
                *sum = sum.wrapping_add(hash as u32);
            }
        }
        hashes
    }
}
