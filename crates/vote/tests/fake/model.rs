//! The reference model: a plain list of the committed entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::command;
use base::NodeId;
use vote::Entry;
use vote::Index;
use vote::ProposalId;
use vote::ReadId;

/// The committed entries, and what callers were told about them.
#[derive(Default)]
pub struct Model {
    entries: Vec<Entry>,
    proposed: BTreeMap<u64, (NodeId, ProposalId)>,
    /// Commands whose proposer was told that they were accepted.
    accepted: BTreeSet<u64>,
    reads: BTreeMap<(NodeId, ReadId), Index>,
    pub reads_answered: usize,
}

impl Model {
    pub fn last_index(&self) -> Index {
        Index(self.entries.len() as u64)
    }

    pub fn accepted(&self) -> &BTreeSet<u64> {
        &self.accepted
    }

    pub fn is_accepted(&self, command: u64) -> bool {
        self.accepted.contains(&command)
    }

    /// Whether another entry was committed at this command's index.
    pub fn is_superseded(&self, command: u64) -> bool {
        let (_, proposal) = self.proposed[&command];
        let entry = self.entries.get(proposal.index.0 as usize - 1);
        entry.is_some_and(|entry| entry.term != proposal.term)
    }

    pub fn proposed(&mut self, id: NodeId, proposal: ProposalId, command: u64) {
        self.proposed.insert(command, (id, proposal));
    }

    pub fn committed(&mut self, id: NodeId, entry: &Entry) {
        let at = entry.index.0 as usize - 1;
        assert!(
            at <= self.entries.len(),
            "{id} committed an entry after a gap"
        );
        if let Some(known) = self.entries.get(at) {
            assert_eq!(known, entry, "{id} committed a different entry");
        } else {
            self.entries.push(entry.clone());
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
        assert!(
            index <= self.last_index(),
            "{id} installed entries that are not committed"
        );
        assert_eq!(
            app,
            self.commands(index),
            "{id} installed a different state"
        );
    }

    pub fn check_state(&self, id: NodeId, index: Index, app: &[u64]) {
        assert_eq!(app, self.commands(index), "{id} has a different state");
    }

    pub fn commands(&self, index: Index) -> Vec<u64> {
        let entries = self.entries.iter().take(index.0 as usize);
        entries.filter_map(command).collect()
    }

    pub fn read_started(&mut self, id: NodeId, read: ReadId) {
        let last = self.last_index();
        self.reads.insert((id, read), last);
    }

    /// Checks that a read reported as current covers everything that was committed before
    /// the read began.
    pub fn read_finished(
        &mut self,
        id: NodeId,
        read: ReadId,
        current: Option<Index>,
        applied: Index,
    ) {
        let last_at_start = self.reads.remove(&(id, read));
        let Some((index, last_at_start)) = current.zip(last_at_start) else {
            return;
        };
        assert!(
            last_at_start <= index,
            "{id} answered a read from an outdated state"
        );
        assert!(
            index <= applied,
            "{id} answered a read from entries it has not applied"
        );
        self.reads_answered += 1;
    }

    pub fn forget_node(&mut self, id: NodeId) {
        self.reads.retain(|(node, _), _| *node != id);
    }
}
