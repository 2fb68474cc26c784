//! The commit index: what a majority has on disk, and what its answers confirm.

use crate::Entry;
use crate::Index;
use crate::SendStamp;
use crate::Trust;
use crate::Voter;
use crate::role::Leader;
use crate::role::RoleState;
use base::Time;

impl Voter {
    /// Commits what a majority has on disk. Entries of earlier terms are committed
    /// along with the first entry of this term.
    pub(crate) fn advance_commit_index(&mut self) {
        let RoleState::Leader(leader) = &self.state else {
            return;
        };
        let Some(group) = self.group() else {
            return;
        };
        let synced_index = self.synced_index;
        let reached = group.majority_value(|node| match leader.progress.get(&node) {
            Some(progress) => progress.matched,
            None => synced_index,
        });
        if self.commit < reached && self.log.term_at(reached) == Some(self.term) {
            self.commit = reached;
            self.recount_uncommitted_bytes();
        }
        self.raise_acked_indexes();
        self.confirm_reads();
        self.advance_membership();
    }

    /// The latest time for which a majority has answered messages sent then or later.
    pub(crate) fn majority_answered_at(&self) -> Time {
        self.majority_acked(|last_answered| last_answered.sent, self.now)
    }

    /// The largest value that the answers of a majority have reached.
    pub(crate) fn majority_acked<Value: Ord + Copy + Default>(
        &self,
        of: impl Fn(SendStamp) -> Value,
        own: Value,
    ) -> Value {
        let (RoleState::Leader(leader), Some(group)) = (&self.state, self.group()) else {
            return Value::default();
        };
        group.majority_value(|node| match leader.progress.get(&node) {
            Some(progress) if progress.trust == Trust::Trusted => of(progress.last_answered),
            Some(_) => Value::default(),
            None => own,
        })
    }

    fn recount_uncommitted_bytes(&mut self) {
        let bytes = self.log.entries_after(self.commit).map(Entry::bytes).sum();
        if let RoleState::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes = bytes;
        }
    }

    /// Records up to which index each member is known to have acknowledged committed entries.
    fn raise_acked_indexes(&mut self) {
        let RoleState::Leader(leader) = &self.state else {
            return;
        };
        let commit = self.commit;
        let own = (self.cfg.id, self.cfg.disk, self.synced_index.min(commit));
        let others = leader
            .progress
            .iter()
            .map(|(node, p)| (*node, p.disk, p.matched.min(commit)));
        let acked: Vec<_> = others.chain([own]).collect();
        for (node, disk, index) in acked {
            self.raise_acked_index(node, disk, index);
        }
    }
}

impl Leader {
    /// Whether an entry of the leader's own term is committed. Only then does the
    /// leader know everything that was committed before.
    pub(crate) fn has_committed_own_term(&self, commit: Index) -> bool {
        self.first_index <= commit
    }
}
