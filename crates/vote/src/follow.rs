//! The follower: it appends the entries that a leader sends.

use crate::Ack;
use crate::AckOutcome;
use crate::AckedIndex;
use crate::AppendEntries;
use crate::Body;
use crate::Entry;
use crate::Index;
use crate::Position;
use crate::Record;
use crate::SendStamp;
use crate::Term;
use crate::Trust;
use crate::Voter;
use crate::role::RoleState;
use base::NodeId;

impl Voter {
    pub(crate) fn on_append(&mut self, from: NodeId, append: AppendEntries) {
        if !self.accept_leader(from, append.term, append.stamp) {
            return;
        }
        self.record_acked_indexes(&append.acked);
        self.contacts.record_silent(&append.silent, self.now);
        if self.trust == Trust::Distrusted {
            self.send_ack(from, append.stamp, AckOutcome::Distrusted);
            return;
        }
        if self.cfg.limits.unsynced_bytes < self.outbox.unsynced_bytes() {
            return;
        }
        let stamp = append.stamp;
        let outcome = self.append_entries(append);
        self.send_ack(from, stamp, outcome);
    }

    /// Follows the sender as leader, unless its term is over.
    pub(crate) fn accept_leader(&mut self, from: NodeId, term: Term, stamp: SendStamp) -> bool {
        if term < self.term {
            self.send_ack(from, stamp, AckOutcome::OldTerm);
            return false;
        }
        let is_known_leader =
            matches!(self.state, RoleState::Follower { leader } if leader == Some(from));
        if !is_known_leader || self.term < term {
            self.become_follower(term, Some(from));
        }
        self.contacts.record_leader(from, self.now);
        self.rejection = None;
        self.forming.joined = None;
        self.votes_withheld_until = self.now + self.cfg.timing.election_timeout_min;
        self.reset_election_timer();
        true
    }

    pub(crate) fn send_ack(&mut self, to: NodeId, stamp: SendStamp, outcome: AckOutcome) {
        let term = self.term;
        let ack = self.new_message(Body::Ack(Ack {
            term,
            stamp,
            outcome,
        }));
        self.outbox.send_once_synced(to, ack);
    }

    pub(crate) fn record_acked_indexes(&mut self, acked: &[AckedIndex]) {
        for acked in acked {
            self.raise_acked_index(acked.node, acked.disk, acked.index);
        }
        let own = self.acked_index(self.cfg.id, self.cfg.disk);
        self.check_own_acked_index(own);
    }

    fn append_entries(&mut self, append: AppendEntries) -> AckOutcome {
        if let Some(outcome) = self.check_previous(append.prev) {
            return outcome;
        }
        let matched = Index(append.prev.index.0 + append.entries.len() as u64);
        for entry in append.entries {
            if !self.store_entry(entry) {
                return AckOutcome::Distrusted;
            }
        }
        self.commit = self.commit.max(append.commit.min(matched));
        AckOutcome::Matched(matched)
    }

    /// The outcome to report if the entry before the sent ones differs or is missing.
    fn check_previous(&self, prev: Position) -> Option<AckOutcome> {
        if prev.index <= self.log.base().index {
            // The log begins after committed entries, so the leader has them too.
            return None;
        }
        match self.log.term_at(prev.index) {
            Some(term) if term == prev.term => None,
            Some(_) => Some(AckOutcome::Mismatch(
                self.log.first_index_of_same_term(prev.index),
            )),
            None => Some(AckOutcome::Mismatch(self.log.last_position().index.next())),
        }
    }

    /// Stores an entry. Returns false if it contradicts a committed one, which is
    /// only possible if a disk has lost entries that it had acknowledged.
    fn store_entry(&mut self, entry: Entry) -> bool {
        if entry.index <= self.log.base().index {
            return true;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return true,
            Some(_) if entry.index <= self.commit => {
                self.trust = Trust::Distrusted;
                self.outbox.add_record(Record::Distrusted);
                return false;
            }
            Some(_) => {
                self.log.truncate(entry.index);
                self.synced_index = self.synced_index.min(entry.index.before());
            }
            None => {}
        }
        self.append_entry(entry);
        true
    }
}
