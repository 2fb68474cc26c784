//! Following: taking the leader's entries.

use crate::Ack;
use crate::Append;
use crate::Beat;
use crate::Body;
use crate::Entry;
use crate::Floor;
use crate::Index;
use crate::Outcome;
use crate::Position;
use crate::Record;
use crate::Term;
use crate::Trust;
use crate::Voter;
use crate::role::State;
use base::NodeId;

impl Voter {
    pub(crate) fn on_append(&mut self, from: NodeId, append: Append) {
        if !self.hear_leader(from, append.term, append.beat) {
            return;
        }
        self.take_floors(&append.floors);
        if self.trust == Trust::Distrusted {
            self.ack(from, append.beat, Outcome::Distrusted);
            return;
        }
        if self.cfg.limits.unsynced < self.outbox.unsynced_bytes() {
            return;
        }
        let beat = append.beat;
        let outcome = self.take_entries(append);
        self.ack(from, beat, outcome);
    }

    /// Accepts a leader, unless its term is over.
    pub(crate) fn hear_leader(&mut self, from: NodeId, term: Term, beat: Beat) -> bool {
        if term < self.term {
            self.ack(from, beat, Outcome::OldTerm);
            return false;
        }
        let known = matches!(self.state, State::Follower { leader } if leader == Some(from));
        if !known || self.term < term {
            self.become_follower(term, Some(from));
        }
        self.notice = None;
        self.forming.joined = None;
        self.loyal_until = self.now + self.cfg.timing.election_min;
        self.reset_election();
        true
    }

    pub(crate) fn ack(&mut self, to: NodeId, beat: Beat, outcome: Outcome) {
        let term = self.term;
        let ack = self.message(Body::Ack(Ack {
            term,
            beat,
            outcome,
        }));
        self.outbox.send_synced(to, ack);
    }

    pub(crate) fn take_floors(&mut self, floors: &[Floor]) {
        for floor in floors {
            self.raise_floor(floor.node, floor.disk, floor.index);
        }
        let own = self.floor(self.cfg.id, self.cfg.disk);
        self.check_own_floor(own);
    }

    fn take_entries(&mut self, append: Append) -> Outcome {
        if let Some(outcome) = self.check_previous(append.prev) {
            return outcome;
        }
        let matched = Index(append.prev.index.0 + append.entries.len() as u64);
        for entry in append.entries {
            if !self.take_entry(entry) {
                return Outcome::Distrusted;
            }
        }
        self.commit = self.commit.max(append.commit.min(matched));
        Outcome::Matched(matched)
    }

    /// The answer if the entries do not join the log.
    fn check_previous(&self, prev: Position) -> Option<Outcome> {
        if prev.index <= self.log.base().index {
            // What the log begins with is committed, so it is the leader's too.
            return None;
        }
        match self.log.term(prev.index) {
            Some(term) if term == prev.term => None,
            Some(_) => Some(Outcome::Mismatch(self.log.run_start(prev.index))),
            None => Some(Outcome::Mismatch(self.log.last().index.next())),
        }
    }

    /// Takes one entry. False if it contradicts a committed one, which can only
    /// be after a disk lost what it had promised.
    fn take_entry(&mut self, entry: Entry) -> bool {
        if entry.index <= self.log.base().index {
            return true;
        }
        match self.log.term(entry.index) {
            Some(term) if term == entry.term => return true,
            Some(_) if entry.index <= self.commit => {
                self.trust = Trust::Distrusted;
                self.outbox.record(Record::Distrusted);
                return false;
            }
            Some(_) => {
                self.log.truncate(entry.index);
                self.durable = self.durable.min(entry.index.before());
            }
            None => {}
        }
        self.append_entry(entry);
        true
    }
}
