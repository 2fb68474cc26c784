//! The proposals of an attempt to the ledger, their replies, and its timeouts.

use std::sync::Arc;
use std::time::Duration;

use crate::Action;
use crate::AnswerContent;
use crate::Attempt;
use crate::ProposalKind;
use crate::Refusal;
use crate::attempt::CallerState;
use crate::stage::Stage;
use base::Ran;
use base::Time;
use state::Claim;
use state::ClaimReply;
use state::KeyStatus;
use state::Op;
use state::Outcome;
use state::RecordOutcome;
use state::RecordQueriedAnswer;
use state::RecordReply;
use state::Reply;
use state::StoredAnswer;
use state::Withdraw;

/// The time after which a proposal without a reply is proposed again.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// The time between two queries to the service for the outcome of a call.
pub(crate) const OUTCOME_QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// How long the service's answer is held back until the ledger has recorded it.
const ANSWER_RECORD_WAIT: Duration = Duration::from_millis(500);

/// How long an outcome is proposed again before its claim is left to become unknown.
const RECORD_RETRY_TIMEOUT: Duration = Duration::from_secs(3_600);

/// How long a refusal is held back until the ledger has confirmed the withdrawal.
const REFUSAL_WITHDRAW_WAIT: Duration = Duration::from_secs(2);

/// How long a withdrawal, or the answer to an earlier call, is proposed again. After
/// that the node's sequence floor keeps a withdrawn claim from being granted.
const WITHDRAW_RETRY_TIMEOUT: Duration = Duration::from_secs(30);

/// How long after the deadline the service's answer is still accepted and recorded.
const LATE_ANSWER_WINDOW: Duration = Duration::from_secs(60);

/// How long after the deadline the ledger marks a claim without an outcome unknown.
const CLAIM_RUN_MARGIN: Duration = Duration::from_secs(5);

impl Attempt {
    pub(crate) fn propose_claim(&mut self, now: Time) {
        let Some(key) = self.key() else {
            return;
        };
        let claim = Claim {
            org: key.org.clone(),
            key: key.key.clone(),
            body: key.body_digest,
            service: self.call.service.clone(),
            attempt: self.id,
            floor: self.floor,
            seen: self.seen_index,
            run_for: self.call.deadline + CLAIM_RUN_MARGIN,
            retention: key.retention,
        };
        self.propose(Op::Claim(claim), now);
    }

    pub(crate) fn withdraw(&mut self, refusal: Refusal, now: Time) {
        self.enter_stage(Stage::Withdrawing(refusal), now);
        self.propose_withdraw(now);
    }

    pub(crate) fn record_outcome(&mut self, answer: Option<Arc<StoredAnswer>>, now: Time) {
        let unknown = answer.is_none();
        self.enter_stage(Stage::Recording(answer), now);
        self.propose_record(now);
        // Recording cannot improve an unknown outcome, so the caller need not wait for it.
        if unknown {
            self.refuse_caller(Ran::Unknown, Refusal::AnswerLost);
        }
    }

    pub(crate) fn record_queried_answer(&mut self, answer: Arc<StoredAnswer>, now: Time) {
        self.enter_stage(Stage::RecordingQueriedAnswer(answer.clone()), now);
        self.propose_queried_answer(now);
        self.answer_caller(Ran::Run, AnswerContent::Stored(answer));
    }

    pub(crate) fn on_reply(&mut self, reply: Reply, now: Time) {
        match (&self.stage, reply) {
            (Stage::Claiming, Reply::Claim(reply)) => self.on_claim_reply(reply, now),
            (Stage::Withdrawing(refusal), Reply::Withdraw(status)) => {
                let refusal = refusal.clone();
                self.on_withdrawn(refusal, status, now);
            }
            (Stage::Recording(answer), Reply::Record(reply)) => {
                let answer = answer.clone();
                self.on_recorded(answer, reply, now);
            }
            (Stage::RecordingQueriedAnswer(_), Reply::Record(_)) => self.close(now),
            _ => {}
        }
    }

    pub(crate) fn on_proposal_lost(&mut self, proposal: ProposalKind, now: Time) {
        let awaited = match self.stage {
            Stage::Claiming => proposal == ProposalKind::Claim,
            Stage::Withdrawing(_) => proposal == ProposalKind::Withdraw,
            Stage::Recording(_) | Stage::RecordingQueriedAnswer(_) => {
                proposal == ProposalKind::Record
            }
            _ => false,
        };
        // A tick proposes it again when the retry is due, and ends what has no time left.
        if awaited {
            self.on_tick(now);
        }
    }

    pub(crate) fn on_tick(&mut self, now: Time) {
        match &self.stage {
            Stage::Claiming => self.tick_claiming(now),
            Stage::Connecting if self.send_by() <= now => {
                self.push_action(Action::DropConnection);
                self.give_up(Refusal::TooLate, now);
            }
            Stage::AwaitingAnswer if self.answer_by() <= now => self.tick_awaiting_answer(now),
            Stage::QueryingOutcome if self.answer_by() <= now => self.record_outcome(None, now),
            Stage::QueryingOutcome
                if self.has_elapsed(self.last_try_at, OUTCOME_QUERY_INTERVAL, now) =>
            {
                self.last_try_at = now;
                self.push_action(Action::QueryOutcome);
            }
            Stage::QueryingEarlierOutcome(refusal) if self.answer_by() <= now => {
                let refusal = refusal.clone();
                self.refuse_caller(Ran::Unknown, refusal);
                self.close(now);
            }
            Stage::Recording(answer) => {
                let answer = answer.clone();
                self.tick_recording(answer, now);
            }
            Stage::RecordingQueriedAnswer(_) => self.tick_recording_queried_answer(now),
            Stage::Withdrawing(_) => self.tick_withdrawing(now),
            _ => {}
        }
    }

    pub(crate) fn next_wake(&self) -> Time {
        let next_proposal = self.last_try_at + PROPOSAL_RETRY_INTERVAL;
        match &self.stage {
            Stage::Claiming => next_proposal.min(self.send_by()),
            Stage::Connecting => self.send_by(),
            Stage::AwaitingAnswer if self.caller == CallerState::Finished => {
                self.answer_by() + LATE_ANSWER_WINDOW
            }
            Stage::AwaitingAnswer | Stage::QueryingEarlierOutcome(_) => self.answer_by(),
            Stage::QueryingOutcome => {
                (self.last_try_at + OUTCOME_QUERY_INTERVAL).min(self.answer_by())
            }
            Stage::Recording(Some(_)) if self.caller == CallerState::Waiting => {
                next_proposal.min(self.stage_since + ANSWER_RECORD_WAIT)
            }
            Stage::Withdrawing(_) if self.caller == CallerState::Waiting => {
                next_proposal.min(self.withdraw_refusal_due())
            }
            Stage::Recording(_) | Stage::RecordingQueriedAnswer(_) | Stage::Withdrawing(_) => {
                next_proposal
            }
            Stage::Closed => Time::NEVER,
        }
    }

    fn on_claim_reply(&mut self, reply: ClaimReply, now: Time) {
        match reply {
            ClaimReply::Granted if now < self.send_by() => self.connect(now),
            ClaimReply::Granted => self.withdraw(Refusal::TooLate, now),
            ClaimReply::Done(answer) => {
                self.answer_caller(Ran::Run, AnswerContent::Stored(answer));
                self.close(now);
            }
            ClaimReply::Running { since } => {
                self.refuse_caller(Ran::Unknown, Refusal::Running { since });
                self.close(now);
            }
            ClaimReply::Unknown { since } => self.on_earlier_unknown(since, now),
            ClaimReply::OtherBody => {
                self.refuse_caller(Ran::NotRun, Refusal::KeyReused);
                self.close(now);
            }
            ClaimReply::Closed { .. } => self.withdraw(Refusal::JustRefused, now),
            ClaimReply::Withdrawn => self.withdraw(Refusal::TooLate, now),
            ClaimReply::Full => self.withdraw(Refusal::LedgerFull, now),
        }
    }

    fn on_withdrawn(&mut self, refusal: Refusal, status: KeyStatus, now: Time) {
        match status {
            KeyStatus::Free => self.refuse_caller(Ran::NotRun, refusal),
            KeyStatus::Running { since } => {
                self.refuse_caller(Ran::Unknown, Refusal::Running { since });
            }
            KeyStatus::Done(answer) => self.answer_caller(Ran::Run, AnswerContent::Stored(answer)),
            KeyStatus::Unknown { since } => {
                self.refuse_caller(Ran::Unknown, Refusal::OutcomeUnknown { since });
            }
        }
        self.close(now);
    }

    fn on_recorded(&mut self, answer: Option<Arc<StoredAnswer>>, reply: RecordReply, now: Time) {
        match (answer, reply) {
            // The reply to a record that was proposed before the answer arrived.
            (Some(_), RecordReply::Unknown) => {}
            (Some(answer), _) => {
                self.answer_caller(Ran::Run, AnswerContent::Fresh(answer));
                self.close(now);
            }
            // The service's answer may still arrive.
            (None, RecordReply::Unknown) if self.accepts_late_answer(now) => {
                self.enter_stage(Stage::AwaitingAnswer, now);
            }
            (None, _) => self.close(now),
        }
    }

    fn withdraw_refusal_due(&self) -> Time {
        self.answer_by()
            .min(self.stage_since + REFUSAL_WITHDRAW_WAIT)
    }

    fn accepts_late_answer(&self, now: Time) -> bool {
        now < self.answer_by() + LATE_ANSWER_WINDOW
    }

    fn tick_claiming(&mut self, now: Time) {
        if self.send_by() <= now {
            return self.withdraw(Refusal::NoQuorum, now);
        }
        if self.has_elapsed(self.last_try_at, PROPOSAL_RETRY_INTERVAL, now) {
            self.propose_claim(now);
        }
    }

    fn tick_awaiting_answer(&mut self, now: Time) {
        if self.key().is_none() {
            self.push_action(Action::DropConnection);
            return self.end_with_answer_lost(now);
        }
        if self.awaits_late_answer() && self.accepts_late_answer(now) {
            return;
        }
        if self.awaits_late_answer() {
            self.push_action(Action::DropConnection);
            return self.close(now);
        }
        self.record_outcome(None, now);
    }

    fn tick_recording(&mut self, answer: Option<Arc<StoredAnswer>>, now: Time) {
        if let Some(answer) = answer
            && self.has_elapsed(self.stage_since, ANSWER_RECORD_WAIT, now)
        {
            self.answer_caller(Ran::Run, AnswerContent::Fresh(answer));
        }
        if self.has_elapsed(self.stage_since, RECORD_RETRY_TIMEOUT, now) {
            return self.close(now);
        }
        if self.has_elapsed(self.last_try_at, PROPOSAL_RETRY_INTERVAL, now) {
            self.propose_record(now);
        }
    }

    fn tick_recording_queried_answer(&mut self, now: Time) {
        if self.has_elapsed(self.stage_since, WITHDRAW_RETRY_TIMEOUT, now) {
            return self.close(now);
        }
        if self.has_elapsed(self.last_try_at, PROPOSAL_RETRY_INTERVAL, now) {
            self.propose_queried_answer(now);
        }
    }

    fn tick_withdrawing(&mut self, now: Time) {
        if self.withdraw_refusal_due() <= now {
            self.refuse_unconfirmed();
        }
        if self.has_elapsed(self.stage_since, WITHDRAW_RETRY_TIMEOUT, now) {
            return self.close(now);
        }
        if self.has_elapsed(self.last_try_at, PROPOSAL_RETRY_INTERVAL, now) {
            self.propose_withdraw(now);
        }
    }

    /// Refuses a call that did not run when the ledger cannot say whether an earlier one did.
    fn refuse_unconfirmed(&mut self) {
        self.refuse_caller(self.call.kind.ran_if_unsent(), Refusal::NoQuorum);
    }

    fn propose(&mut self, op: Op, now: Time) {
        self.last_try_at = now;
        self.push_action(Action::Propose(op));
    }

    fn propose_withdraw(&mut self, now: Time) {
        let Some(key) = self.key() else {
            return;
        };
        let withdraw = Withdraw {
            org: key.org.clone(),
            key: key.key.clone(),
            attempt: self.id,
            floor: self.floor,
        };
        self.propose(Op::Withdraw(withdraw), now);
    }

    fn propose_record(&mut self, now: Time) {
        let Some(key) = self.key() else {
            return;
        };
        let outcome = match &self.stage {
            Stage::Recording(Some(answer)) => Outcome::Done(answer.clone()),
            _ => Outcome::Unknown,
        };
        let record = RecordOutcome {
            org: key.org.clone(),
            key: key.key.clone(),
            attempt: self.id,
            outcome,
        };
        self.propose(Op::Record(record), now);
    }

    fn propose_queried_answer(&mut self, now: Time) {
        let (Some(key), Stage::RecordingQueriedAnswer(answer)) = (self.key(), &self.stage) else {
            return;
        };
        let queried = RecordQueriedAnswer {
            org: key.org.clone(),
            key: key.key.clone(),
            answer: answer.clone(),
        };
        self.propose(Op::Learn(queried), now);
    }
}
