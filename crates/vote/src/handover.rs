//! Handing over: a leader that is about to stop lets another voter lead.
//!
//! The leader gives up first, its lease included, and then asks the most
//! complete follower to stand at once. Voters need not wait for that lease: a
//! term has one leader, and it has said that it is done.

use crate::Body;
use crate::ElectionPhase;
use crate::ElectionReason;
use crate::Term;
use crate::Trust;
use crate::Voter;
use crate::role::State;
use base::NodeId;
use base::Time;

impl Voter {
    /// Lets another voter lead, if this one does and another can. Send the
    /// effects before the process ends.
    pub fn hand_over_leadership(&mut self, now: Time) {
        self.advance_clock(now);
        let Some(next) = self.successor() else {
            return;
        };
        let term = self.term;
        self.become_follower(term, None);
        let message = self.new_message(Body::HandOver { term });
        self.outbox.send(next, message);
    }

    pub(crate) fn on_hand_over(&mut self, from: NodeId, term: Term) {
        let follows = matches!(self.state, State::Follower { leader } if leader == Some(from));
        if !follows || term != self.term || !self.can_campaign() {
            return;
        }
        self.reset_election_timer();
        self.set_term_and_vote(term.next(), Some(self.cfg.id));
        self.request_votes(
            ElectionPhase::Vote,
            ElectionReason::HandOver,
            self.term,
            self.outbox.current_batch(),
        );
    }

    /// The voter that has followed furthest.
    fn successor(&self) -> Option<NodeId> {
        let (State::Leader(leader), Some(group)) = (&self.state, self.group()) else {
            return None;
        };
        let able = leader
            .progress
            .iter()
            .filter(|(node, progress)| progress.trust == Trust::Trusted && group.is_voter(**node));
        let best = able.max_by_key(|(_, progress)| (progress.matched, progress.last_answered));
        best.map(|(node, _)| *node)
    }
}
