//! What a voter keeps on its disk: checkpoints in place of old entries, and the restart from them.

use crate::Blob;
use crate::DiskWrite;
use crate::Index;
use crate::Record;
use crate::Restored;
use crate::Snapshot;
use crate::Trust;
use crate::Voter;

impl Voter {
    /// Replaces all entries up to `index` by a snapshot of `state`. An index
    /// that was not delivered yet, or not newer than the last snapshot, is ignored.
    pub fn compact(&mut self, index: Index, state: impl Into<Blob>) {
        let newest = self.snapshot.as_ref().map(|s| s.last_included.index);
        if self.delivered < index || newest.is_some_and(|newest| index <= newest) {
            return;
        }
        let Some(last_included) = self.log.position_at(index) else {
            return;
        };
        let Some(group) = self.log.group_at(index).cloned() else {
            return;
        };
        let state = state.into();
        self.snapshot = Some(Snapshot {
            last_included,
            group,
            state,
        });
        self.log.compact(index, self.cfg.limits.kept_log_bytes);
        self.checkpoint();
    }

    /// Writes the newest snapshot and the records after it in place of the log.
    pub(crate) fn checkpoint(&mut self) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let mut records = Vec::new();
        records.extend(self.group_id.map(Record::Bound));
        records.push(Record::TermAndVote {
            term: self.term,
            vote: self.voted_for,
        });
        if self.trust == Trust::Distrusted {
            records.push(Record::Distrusted);
        }
        let entries = self
            .log
            .entries_after(snapshot.last_included.index)
            .cloned();
        records.extend(entries.map(Record::Entry));
        self.outbox
            .checkpoint(DiskWrite::Checkpoint { snapshot, records });
    }

    pub(crate) fn restore(&mut self, restored: Restored) {
        if let Some(snapshot) = restored.snapshot {
            self.log.reset_to_snapshot(&snapshot);
            self.commit = snapshot.last_included.index;
            self.delivered = snapshot.last_included.index;
            self.snapshot_to_install = Some(snapshot.clone());
            self.snapshot = Some(snapshot);
        }
        for record in restored.records {
            match record {
                Record::Bound(group) => self.group_id = Some(group),
                Record::TermAndVote { term, vote } => {
                    self.term = term;
                    self.voted_for = vote;
                }
                Record::Entry(entry) => {
                    self.log.truncate(entry.index);
                    self.log.push(entry);
                }
                Record::Distrusted => self.trust = Trust::Distrusted,
            }
        }
        self.synced_index = self.log.last_position().index;
    }

    /// A restarted voter may have answered a leader just before it stopped, so it
    /// grants no vote until that leader's lease must have expired.
    pub(crate) fn resume_after_restart(&mut self) {
        let is_only_voter = self.is_voter() && self.group().is_some_and(|g| g.quorum() == 1);
        if is_only_voter {
            self.election_deadline = self.now;
            return;
        }
        self.votes_withheld_until = self.now + self.cfg.timing.election_timeout_min;
        self.reset_election_timer();
    }
}
