//! The naive version: one plain list of accepted entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::command;
use base::NodeId;
use vote::Entry;
use vote::Index;
use vote::ProposalId;
use vote::ReadId;

/// What has been accepted, and what may be expected of it.
#[derive(Default)]
pub struct Model {
    list: Vec<Entry>,
    proposed: BTreeMap<u64, (NodeId, ProposalId)>,
    /// Commands whose proposer was told that they are accepted.
    accepted: BTreeSet<u64>,
    reads: BTreeMap<(NodeId, ReadId), Index>,
    pub reads_answered: usize,
}

impl Model {
    pub fn last(&self) -> Index {
        Index(self.list.len() as u64)
    }

    pub fn accepted(&self) -> &BTreeSet<u64> {
        &self.accepted
    }

    pub fn is_accepted(&self, command: u64) -> bool {
        self.accepted.contains(&command)
    }

    /// Whether another entry was accepted in this command's place.
    pub fn is_lost(&self, command: u64) -> bool {
        let (_, proposal) = self.proposed[&command];
        let entry = self.list.get(proposal.index.0 as usize - 1);
        entry.is_some_and(|entry| entry.term != proposal.term)
    }

    pub fn proposed(&mut self, id: NodeId, proposal: ProposalId, command: u64) {
        self.proposed.insert(command, (id, proposal));
    }

    pub fn committed(&mut self, id: NodeId, entry: &Entry) {
        let at = entry.index.0 as usize - 1;
        assert!(at <= self.list.len(), "{id} committed past a gap");
        if let Some(known) = self.list.get(at) {
            assert_eq!(known, entry, "{id} committed another entry");
        } else {
            self.list.push(entry.clone());
        }
        let proposal = ProposalId {
            term: entry.term,
            index: entry.index,
        };
        if let Some(command) = command(entry)
            && self.proposed.get(&command) == Some(&(id, proposal))
        {
            self.accepted.insert(command);
        }
    }

    pub fn check_installed(&self, id: NodeId, index: Index, app: &[u64]) {
        assert!(index <= self.last(), "{id} installed what is not accepted");
        assert_eq!(app, self.commands(index), "{id} installed another state");
    }

    pub fn check_app(&self, id: NodeId, index: Index, app: &[u64]) {
        assert_eq!(app, self.commands(index), "{id} has another state");
    }

    pub fn commands(&self, index: Index) -> Vec<u64> {
        let entries = self.list.iter().take(index.0 as usize);
        entries.filter_map(command).collect()
    }

    pub fn read_began(&mut self, id: NodeId, read: ReadId) {
        let last = self.last();
        self.reads.insert((id, read), last);
    }

    /// A read that claims to be current has everything that was accepted before
    /// it began.
    pub fn read_ended(&mut self, id: NodeId, read: ReadId, current: Option<Index>, have: Index) {
        let began = self.reads.remove(&(id, read));
        let Some((index, began)) = current.zip(began) else {
            return;
        };
        assert!(began <= index, "{id} answered a read with what is old");
        assert!(index <= have, "{id} has not applied what it answers from");
        self.reads_answered += 1;
    }

    pub fn forget_node(&mut self, id: NodeId) {
        self.reads.retain(|(node, _), _| *node != id);
    }
}
