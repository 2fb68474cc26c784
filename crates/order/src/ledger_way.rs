//! The part of the way between the node and the ledger.

use std::sync::Arc;
use std::time::Duration;

use crate::Action;
use crate::AnswerContent;
use crate::Attempt;
use crate::ProposalKind;
use crate::Refusal;
use crate::attempt::Told;
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

/// Time after which a proposal without a reply is made again.
const PROPOSE_AGAIN: Duration = Duration::from_millis(300);

/// Time between two questions for the outcome of a key.
pub(crate) const ASK_AGAIN: Duration = Duration::from_millis(500);

/// Time that an answer waits for its record.
const RECORD_WAIT: Duration = Duration::from_millis(500);

/// Time for which a record is proposed before it is left to become unknown.
const RECORD_FOR: Duration = Duration::from_secs(3_600);

/// Time that a refusal waits for the ledger's word on the key.
const WITHDRAW_WAIT: Duration = Duration::from_secs(2);

/// Time for which a withdrawal is proposed before it is left to the sessions.
const WITHDRAW_FOR: Duration = Duration::from_secs(30);

/// Time after the deadline for which the service's answer is still taken in.
const LATE_FOR: Duration = Duration::from_secs(60);

/// Time after the deadline at which a claim without outcome becomes unknown.
const RUN_MARGIN: Duration = Duration::from_secs(5);

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
            seen: self.seen,
            run_for: self.call.deadline + RUN_MARGIN,
            retention: key.retention,
        };
        self.propose(Op::Claim(claim), now);
    }

    pub(crate) fn withdraw(&mut self, refusal: Refusal, now: Time) {
        self.go(Stage::Withdrawing(refusal), now);
        self.propose_withdraw(now);
    }

    pub(crate) fn record(&mut self, answer: Option<Arc<StoredAnswer>>, now: Time) {
        let unknown = answer.is_none();
        self.go(Stage::Recording(answer), now);
        self.propose_record(now);
        // The record could say nothing better than what is told without it.
        if unknown {
            self.refuse(Ran::Unknown, Refusal::AnswerLost);
        }
    }

    pub(crate) fn learn(&mut self, answer: Arc<StoredAnswer>, now: Time) {
        self.go(Stage::Learning(answer.clone()), now);
        self.propose_learn(now);
        self.tell(Ran::Run, AnswerContent::Stored(answer));
    }

    pub(crate) fn on_reply(&mut self, reply: Reply, now: Time) {
        match (&self.stage, reply) {
            (Stage::Claiming, Reply::Claim(reply)) => self.on_claim_reply(reply, now),
            (Stage::Withdrawing(refusal), Reply::Withdraw(standing)) => {
                let refusal = refusal.clone();
                self.on_withdrawn(refusal, standing, now);
            }
            (Stage::Recording(answer), Reply::Record(reply)) => {
                let answer = answer.clone();
                self.on_recorded(answer, reply, now);
            }
            (Stage::Learning(_), Reply::Record(_)) => self.close(now),
            _ => {}
        }
    }

    pub(crate) fn on_proposal_lost(&mut self, proposal: ProposalKind, now: Time) {
        let awaited = match self.stage {
            Stage::Claiming => proposal == ProposalKind::Claim,
            Stage::Withdrawing(_) => proposal == ProposalKind::Withdraw,
            Stage::Recording(_) | Stage::Learning(_) => proposal == ProposalKind::Record,
            _ => false,
        };
        // The next tick proposes it again; what has no time left ends now.
        if awaited {
            self.on_tick(now);
        }
    }

    pub(crate) fn on_tick(&mut self, now: Time) {
        match &self.stage {
            Stage::Claiming => self.tick_claiming(now),
            Stage::Connecting if self.send_by() <= now => {
                self.step(Action::DropConnection);
                self.give_up(Refusal::TooLate, now);
            }
            Stage::Written if self.answer_by() <= now => self.tick_written(now),
            Stage::Asking if self.answer_by() <= now => self.record(None, now),
            Stage::Asking if self.waited(self.tried_at, ASK_AGAIN, now) => {
                self.tried_at = now;
                self.step(Action::QueryOutcome);
            }
            Stage::AskingEarlier(refusal) if self.answer_by() <= now => {
                let refusal = refusal.clone();
                self.refuse(Ran::Unknown, refusal);
                self.close(now);
            }
            Stage::Recording(answer) => {
                let answer = answer.clone();
                self.tick_recording(answer, now);
            }
            Stage::Learning(_) => self.tick_learning(now),
            Stage::Withdrawing(_) => self.tick_withdrawing(now),
            _ => {}
        }
    }

    pub(crate) fn next_wake(&self) -> Time {
        let again = self.tried_at + PROPOSE_AGAIN;
        match &self.stage {
            Stage::Claiming => again.min(self.send_by()),
            Stage::Connecting => self.send_by(),
            Stage::Written if self.told == Told::Yes => self.answer_by() + LATE_FOR,
            Stage::Written | Stage::AskingEarlier(_) => self.answer_by(),
            Stage::Asking => (self.tried_at + ASK_AGAIN).min(self.answer_by()),
            Stage::Recording(Some(_)) if self.told == Told::NotYet => {
                again.min(self.stage_at + RECORD_WAIT)
            }
            Stage::Withdrawing(_) if self.told == Told::NotYet => {
                again.min(self.withdraw_told_by())
            }
            Stage::Recording(_) | Stage::Learning(_) | Stage::Withdrawing(_) => again,
            Stage::Closed => Time::NEVER,
        }
    }

    fn on_claim_reply(&mut self, reply: ClaimReply, now: Time) {
        match reply {
            ClaimReply::Granted if now < self.send_by() => self.connect(now),
            ClaimReply::Granted => self.withdraw(Refusal::TooLate, now),
            ClaimReply::Done(answer) => {
                self.tell(Ran::Run, AnswerContent::Stored(answer));
                self.close(now);
            }
            ClaimReply::Running { since } => {
                self.refuse(Ran::Unknown, Refusal::Running { since });
                self.close(now);
            }
            ClaimReply::Unknown { since } => self.on_earlier_unknown(since, now),
            ClaimReply::OtherBody => {
                self.refuse(Ran::NotRun, Refusal::KeyReused);
                self.close(now);
            }
            ClaimReply::Closed { .. } => self.withdraw(Refusal::JustRefused, now),
            ClaimReply::Withdrawn => self.withdraw(Refusal::TooLate, now),
            ClaimReply::Full => self.withdraw(Refusal::LedgerFull, now),
        }
    }

    fn on_withdrawn(&mut self, refusal: Refusal, standing: KeyStatus, now: Time) {
        match standing {
            KeyStatus::Free => self.refuse(Ran::NotRun, refusal),
            KeyStatus::Running { since } => {
                self.refuse(Ran::Unknown, Refusal::Running { since });
            }
            KeyStatus::Done(answer) => self.tell(Ran::Run, AnswerContent::Stored(answer)),
            KeyStatus::Unknown { since } => {
                self.refuse(Ran::Unknown, Refusal::OutcomeUnknown { since });
            }
        }
        self.close(now);
    }

    fn on_recorded(&mut self, answer: Option<Arc<StoredAnswer>>, reply: RecordReply, now: Time) {
        match (answer, reply) {
            // This is the reply to an earlier record, made before the answer came.
            (Some(_), RecordReply::Unknown) => {}
            (Some(answer), _) => {
                self.tell(Ran::Run, AnswerContent::Fresh(answer));
                self.close(now);
            }
            // The service's answer may still come.
            (None, RecordReply::Unknown) if self.late_until(now) => {
                self.go(Stage::Written, now);
            }
            (None, _) => self.close(now),
        }
    }

    fn withdraw_told_by(&self) -> Time {
        self.answer_by().min(self.stage_at + WITHDRAW_WAIT)
    }

    fn late_until(&self, now: Time) -> bool {
        now < self.answer_by() + LATE_FOR
    }

    fn tick_claiming(&mut self, now: Time) {
        if self.send_by() <= now {
            return self.withdraw(Refusal::NoQuorum, now);
        }
        if self.waited(self.tried_at, PROPOSE_AGAIN, now) {
            self.propose_claim(now);
        }
    }

    fn tick_written(&mut self, now: Time) {
        if self.key().is_none() {
            self.step(Action::DropConnection);
            return self.end_unknown(now);
        }
        if self.awaits_late_answer() && self.late_until(now) {
            return;
        }
        if self.awaits_late_answer() {
            self.step(Action::DropConnection);
            return self.close(now);
        }
        self.record(None, now);
    }

    fn tick_recording(&mut self, answer: Option<Arc<StoredAnswer>>, now: Time) {
        if let Some(answer) = answer
            && self.waited(self.stage_at, RECORD_WAIT, now)
        {
            self.tell(Ran::Run, AnswerContent::Fresh(answer));
        }
        if self.waited(self.stage_at, RECORD_FOR, now) {
            return self.close(now);
        }
        if self.waited(self.tried_at, PROPOSE_AGAIN, now) {
            self.propose_record(now);
        }
    }

    fn tick_learning(&mut self, now: Time) {
        if self.waited(self.stage_at, WITHDRAW_FOR, now) {
            return self.close(now);
        }
        if self.waited(self.tried_at, PROPOSE_AGAIN, now) {
            self.propose_learn(now);
        }
    }

    fn tick_withdrawing(&mut self, now: Time) {
        if self.withdraw_told_by() <= now {
            self.refuse_unconfirmed();
        }
        if self.waited(self.stage_at, WITHDRAW_FOR, now) {
            return self.close(now);
        }
        if self.waited(self.tried_at, PROPOSE_AGAIN, now) {
            self.propose_withdraw(now);
        }
    }

    /// Tells what can be told of a call that was not run when the ledger cannot
    /// be reached: an earlier call under the key may have run.
    fn refuse_unconfirmed(&mut self) {
        self.refuse(self.call.kind.ran_if_unsent(), Refusal::NoQuorum);
    }

    fn propose(&mut self, op: Op, now: Time) {
        self.tried_at = now;
        self.step(Action::Propose(op));
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

    fn propose_learn(&mut self, now: Time) {
        let (Some(key), Stage::Learning(answer)) = (self.key(), &self.stage) else {
            return;
        };
        let learn = RecordQueriedAnswer {
            org: key.org.clone(),
            key: key.key.clone(),
            answer: answer.clone(),
        };
        self.propose(Op::Learn(learn), now);
    }
}
