//! Elections.
//!
//! A voter that has not heard from a leader first runs a pre-vote: it asks the
//! others whether they would vote for it, which binds nobody and raises no term.
//! With a majority of pre-votes it asks for real votes. A voter refuses both while
//! it hears from a leader.

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
use crate::role::RoleState;
use base::DiskId;
use base::NodeId;
use base::Time;

impl Voter {
    pub(crate) fn reset_election_timer(&mut self) {
        let timing = &self.cfg.timing;
        let spread = timing
            .election_timeout_max
            .saturating_sub(timing.election_timeout_min);
        let extra = spread.mul_f64(self.rng.f64());
        self.election_deadline = self.now + timing.election_timeout_min + extra;
    }

    pub(crate) fn start_election(&mut self) {
        self.reset_election_timer();
        if self.trust == Trust::Trusted && !self.is_voter() {
            // A learner that no leader sends to may have been removed meanwhile.
            self.offer_as_spare();
        }
        if self.now < self.votes_withheld_until || !self.can_campaign() {
            return;
        }
        self.request_votes(
            ElectionPhase::PreVote,
            ElectionReason::ElectionTimeout,
            self.term.next(),
            BatchId::default(),
        );
    }

    pub(crate) fn can_campaign(&self) -> bool {
        self.trust == Trust::Trusted && self.is_voter() && !self.is_disk_stalled()
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        if self.term < term {
            self.set_term_and_vote(term, None);
        }
        if let RoleState::Leader(_) = self.state {
            self.reset_election_timer();
        }
        self.fail_reads();
        self.state = RoleState::Follower { leader };
    }

    pub(crate) fn on_request_vote(&mut self, from: NodeId, disk: DiskId, request: RequestVote) {
        self.record_acked_indexes(&[request.acked]);
        if self.trust == Trust::Distrusted {
            return;
        }
        self.reject_unless_member(from, disk);
        let withhold = self.must_withhold_vote(request);
        let up_to_date = self.log.last_position() <= request.last
            && self.acked_index(from, disk) <= request.last.index;
        let granted = !withhold && self.grant_vote(from, request, up_to_date);
        let (term, answer) = if granted {
            (request.term, VoteAnswer::Granted)
        } else {
            (self.term, VoteAnswer::Refused)
        };
        let reply = self.new_message(Body::VoteReply(VoteReply {
            phase: request.phase,
            term,
            answer,
        }));
        match request.phase {
            ElectionPhase::PreVote => self.outbox.send(from, reply),
            ElectionPhase::Vote => self.outbox.send_once_synced(from, reply),
        }
    }

    pub(crate) fn on_vote_reply(&mut self, from: NodeId, disk: DiskId, reply: VoteReply) {
        let is_from_voter = self.group().is_some_and(|g| g.has_voter(from, disk));
        if !is_from_voter {
            return;
        }
        if reply.answer == VoteAnswer::Refused {
            if self.term < reply.term {
                self.become_follower(reply.term, None);
            }
            return;
        }
        let term = self.term;
        let RoleState::Candidate(candidate) = &mut self.state else {
            return;
        };
        let asked = match candidate.phase {
            ElectionPhase::PreVote => term.next(),
            ElectionPhase::Vote => term,
        };
        if reply.phase == candidate.phase && reply.term == asked {
            candidate.votes.insert(from);
            self.advance_election();
        }
    }

    /// Goes on to the next phase once a majority has voted for this node.
    pub(crate) fn advance_election(&mut self) {
        let RoleState::Candidate(candidate) = &self.state else {
            return;
        };
        let Some(group) = self.group() else {
            return;
        };
        let own_vote =
            usize::from(self.outbox.is_batch_synced(candidate.own_vote_batch) && self.is_voter());
        if candidate.votes.len() + own_vote < group.quorum() {
            return;
        }
        match candidate.phase {
            ElectionPhase::PreVote => {
                self.set_term_and_vote(self.term.next(), Some(self.cfg.id));
                let own_vote_batch = self.outbox.current_batch();
                self.request_votes(
                    ElectionPhase::Vote,
                    ElectionReason::ElectionTimeout,
                    self.term,
                    own_vote_batch,
                );
            }
            ElectionPhase::Vote => self.become_leader(),
        }
    }

    pub(crate) fn request_votes(
        &mut self,
        phase: ElectionPhase,
        reason: ElectionReason,
        term: Term,
        own_vote_batch: BatchId,
    ) {
        self.state = RoleState::Candidate(Candidate {
            phase,
            votes: BTreeSet::new(),
            own_vote_batch,
        });
        let last = self.log.last_position();
        for (node, disk) in self.other_voters() {
            let acked = AckedIndex {
                node,
                disk,
                index: self.acked_index(node, disk),
            };
            let request = RequestVote {
                phase,
                reason,
                term,
                last,
                acked,
            };
            let message = self.new_message(Body::RequestVote(request));
            match phase {
                ElectionPhase::PreVote => self.outbox.send(node, message),
                ElectionPhase::Vote => self.outbox.send_once_synced(node, message),
            }
        }
        self.advance_election();
    }

    /// Whether some leader may hold a lease that depends on this voter.
    fn must_withhold_vote(&self, request: RequestVote) -> bool {
        let handed_over =
            request.reason == ElectionReason::HandOver && request.term == self.term.next();
        let heard = self.now < self.votes_withheld_until && !handed_over;
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

    fn grant_vote(&mut self, from: NodeId, request: RequestVote, up_to_date: bool) -> bool {
        match request.phase {
            ElectionPhase::PreVote => self.term < request.term && up_to_date,
            ElectionPhase::Vote => {
                if self.term < request.term {
                    self.become_follower(request.term, None);
                }
                let is_available = self.voted_for.is_none_or(|vote| vote == from);
                let granted = self.term == request.term && is_available && up_to_date;
                if granted && self.voted_for.is_none() {
                    self.set_term_and_vote(request.term, Some(from));
                    self.reset_election_timer();
                }
                granted
            }
        }
    }

    fn become_leader(&mut self) {
        let next = self.log.last_position().index.next();
        let others = self.group().into_iter().flat_map(|g| &g.members);
        let progress: BTreeMap<NodeId, Progress> = others
            .filter(|(node, _)| **node != self.cfg.id)
            .map(|(node, member)| {
                let expected_since = self.contacts.silent_since(*node).unwrap_or(self.now);
                let progress = Progress::new(member.disk, next, expected_since);
                (*node, progress)
            })
            .collect();
        self.state = RoleState::Leader(Leader {
            first_index: next,
            elected_at: self.now,
            members_since: self.now,
            round: 0,
            heartbeat_round: 0,
            next_heartbeat_at: Time::ZERO,
            progress,
            reads: Vec::new(),
            uncommitted_bytes: 0,
            leaving: BTreeMap::new(),
            acked_broadcast: AckedBroadcast::default(),
        });
        self.rejection = None;
        self.append_as_leader(Payload::Noop);
        self.send_heartbeats();
    }
}
