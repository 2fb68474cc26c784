//! Leadership handover: a leader that is about to stop lets another voter lead.
//!
//! The leader first gives up leading, including its lease, and then asks the most
//! up-to-date follower to start an election at once. Voters need not wait for the
//! old lease: a term has only one leader, and it has given up.

use crate::Body;
use crate::ElectionPhase;
use crate::ElectionReason;
use crate::Term;
use crate::Trust;
use crate::Voter;
use crate::role::RoleState;
use base::NodeId;
use base::Time;

impl Voter {
    /// Hands leadership over to another voter, if this one leads and another can. The
    /// process must send the resulting messages before it ends.
    pub fn hand_over_leadership(&mut self, now: Time) {
        self.advance_clock(now);
        let Some(successor) = self.successor() else {
            return;
        };
        let term = self.term;
        self.become_follower(term, None);
        let message = self.new_message(Body::HandOver { term });
        self.outbox.send(successor, message);
    }

    pub(crate) fn on_hand_over(&mut self, from: NodeId, term: Term) {
        let follows = matches!(self.state, RoleState::Follower { leader } if leader == Some(from));
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

    /// The trusted other voter with the most up-to-date log, if this voter leads.
    fn successor(&self) -> Option<NodeId> {
        let (RoleState::Leader(leader), Some(group)) = (&self.state, self.group()) else {
            return None;
        };
        let trusted_voters = leader
            .progress
            .iter()
            .filter(|(node, progress)| progress.trust == Trust::Trusted && group.is_voter(**node));
        let best =
            trusted_voters.max_by_key(|(_, progress)| (progress.matched, progress.last_answered));
        best.map(|(node, _)| *node)
    }
}
