//! Elections.
//!
//! A voter that misses its leader first asks whether the others would vote for
//! it, which binds nobody and raises no term. Only with a majority of such
//! answers does it ask in earnest. Nobody answers yes while it hears a leader.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::AckedIndex;
use crate::BatchId;
use crate::Body;
use crate::ElectionPhase;
use crate::ElectionReason;
use crate::Payload;
use crate::RequestVote;
use crate::Term;
use crate::Trust;
use crate::VoteAnswer;
use crate::VoteReply;
use crate::Voter;
use crate::progress::Progress;
use crate::role::AckedBroadcast;
use crate::role::Candidate;
use crate::role::Leader;
use crate::role::State;
use base::DiskId;
use base::NodeId;
use base::Time;

impl Voter {
    pub(crate) fn reset_election(&mut self) {
        let timing = &self.cfg.timing;
        let spread = timing
            .election_timeout_max
            .saturating_sub(timing.election_timeout_min);
        let extra = spread.mul_f64(self.rng.f64());
        self.election_at = self.now + timing.election_timeout_min + extra;
    }

    pub(crate) fn campaign(&mut self) {
        self.reset_election();
        if self.now < self.loyal_until || !self.can_stand() {
            return;
        }
        self.stand(
            ElectionPhase::PreVote,
            ElectionReason::ElectionTimeout,
            self.term.next(),
            BatchId::default(),
        );
    }

    pub(crate) fn can_stand(&self) -> bool {
        self.trust == Trust::Trusted && self.is_voter() && !self.is_disk_stalled()
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        if self.term < term {
            self.promise(term, None);
        }
        if let State::Leader(_) = self.state {
            self.reset_election();
        }
        self.fail_reads();
        self.state = State::Follower { leader };
    }

    pub(crate) fn on_request_vote(&mut self, from: NodeId, disk: DiskId, ask: RequestVote) {
        self.record_acked_indexes(&[ask.acked]);
        if self.trust == Trust::Distrusted {
            return;
        }
        self.refuse(from, disk);
        let loyal = self.is_loyal(ask);
        let complete =
            self.log.last() <= ask.last && self.acked_index(from, disk) <= ask.last.index;
        let granted = !loyal && self.grant(from, ask, complete);
        let (term, answer) = if granted {
            (ask.term, VoteAnswer::Granted)
        } else {
            (self.term, VoteAnswer::Refused)
        };
        let ballot = self.message(Body::VoteReply(VoteReply {
            phase: ask.phase,
            term,
            answer,
        }));
        match ask.phase {
            ElectionPhase::PreVote => self.outbox.send(from, ballot),
            ElectionPhase::Vote => self.outbox.send_synced(from, ballot),
        }
    }

    pub(crate) fn on_vote_reply(&mut self, from: NodeId, disk: DiskId, ballot: VoteReply) {
        let counts = self.group().is_some_and(|g| g.has_voter(from, disk));
        if !counts {
            return;
        }
        if ballot.answer == VoteAnswer::Refused {
            if self.term < ballot.term {
                self.become_follower(ballot.term, None);
            }
            return;
        }
        let term = self.term;
        let State::Candidate(candidate) = &mut self.state else {
            return;
        };
        let asked = match candidate.phase {
            ElectionPhase::PreVote => term.next(),
            ElectionPhase::Vote => term,
        };
        if ballot.phase == candidate.phase && ballot.term == asked {
            candidate.votes.insert(from);
            self.check_election();
        }
    }

    /// Goes on to the next phase once a majority has voted for this node.
    pub(crate) fn check_election(&mut self) {
        let State::Candidate(candidate) = &self.state else {
            return;
        };
        let Some(group) = self.group() else {
            return;
        };
        let own = usize::from(self.outbox.is_synced(candidate.own) && self.is_voter());
        if candidate.votes.len() + own < group.quorum() {
            return;
        }
        match candidate.phase {
            ElectionPhase::PreVote => {
                self.promise(self.term.next(), Some(self.cfg.id));
                let own = self.outbox.current();
                self.stand(
                    ElectionPhase::Vote,
                    ElectionReason::ElectionTimeout,
                    self.term,
                    own,
                );
            }
            ElectionPhase::Vote => self.lead(),
        }
    }

    pub(crate) fn stand(
        &mut self,
        phase: ElectionPhase,
        reason: ElectionReason,
        term: Term,
        own: BatchId,
    ) {
        self.state = State::Candidate(Candidate {
            phase,
            votes: BTreeSet::new(),
            own,
        });
        let last = self.log.last();
        for (node, disk) in self.other_voters() {
            let acked = AckedIndex {
                node,
                disk,
                index: self.acked_index(node, disk),
            };
            let ask = RequestVote {
                phase,
                reason,
                term,
                last,
                acked,
            };
            let message = self.message(Body::RequestVote(ask));
            match phase {
                ElectionPhase::PreVote => self.outbox.send(node, message),
                ElectionPhase::Vote => self.outbox.send_synced(node, message),
            }
        }
        self.check_election();
    }

    /// Whether a leader may hold a lease that rests on this voter.
    fn is_loyal(&self, ask: RequestVote) -> bool {
        let handed_over = ask.reason == ElectionReason::HandOver && ask.term == self.term.next();
        let heard = self.now < self.loyal_until && !handed_over;
        heard || self.lease(self.now).is_some()
    }

    fn other_voters(&self) -> Vec<(NodeId, DiskId)> {
        let Some(group) = self.group() else {
            return Vec::new();
        };
        let others = group.voters().filter(|node| *node != self.cfg.id);
        others
            .map(|node| (node, group.members[&node].disk))
            .collect()
    }

    fn grant(&mut self, from: NodeId, ask: RequestVote, complete: bool) -> bool {
        match ask.phase {
            ElectionPhase::PreVote => self.term < ask.term && complete,
            ElectionPhase::Vote => {
                if self.term < ask.term {
                    self.become_follower(ask.term, None);
                }
                let free = self.vote.is_none_or(|vote| vote == from);
                let granted = self.term == ask.term && free && complete;
                if granted && self.vote.is_none() {
                    self.promise(ask.term, Some(from));
                    self.reset_election();
                }
                granted
            }
        }
    }

    fn lead(&mut self) {
        let next = self.log.last().index.next();
        let others = self.group().into_iter().flat_map(|g| &g.members);
        let progress: BTreeMap<NodeId, Progress> = others
            .filter(|(node, _)| **node != self.cfg.id)
            .map(|(node, member)| (*node, Progress::new(member.disk, next)))
            .collect();
        self.state = State::Leader(Leader {
            first: next,
            since: self.now,
            round: 0,
            heartbeat_round: 0,
            next_heartbeat_at: Time::ZERO,
            progress,
            reads: Vec::new(),
            waiting_bytes: 0,
            acked_broadcast: AckedBroadcast::default(),
        });
        self.rejection = None;
        self.append_own(Payload::Noop);
        self.send_heartbeats();
    }
}
