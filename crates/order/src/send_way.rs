//! The part of an attempt that deals with the service: it connects, sends the request
//! and asks for outcomes.

use std::sync::Arc;

use crate::Action;
use crate::AnswerContent;
use crate::Attempt;
use crate::CallKind;
use crate::OutcomeQuery;
use crate::QueryReply;
use crate::Refusal;
use crate::Sent;
use crate::attempt::CallerState;
use crate::stage::Stage;
use base::Ran;
use base::Time;
use state::LogTime;
use state::StoredAnswer;

impl Attempt {
    pub(crate) fn on_connected(&mut self, now: Time) {
        if self.stage != Stage::Connecting {
            return;
        }
        // The node's process may have been paused since the claim was granted.
        if self.send_by() <= now {
            self.push_action(Action::DropConnection);
            return self.give_up(Refusal::TooLate, now);
        }
        self.sent = Sent::Yes;
        self.enter_stage(Stage::AwaitingAnswer, now);
        self.push_action(Action::WriteRequest);
    }

    pub(crate) fn on_connect_failed(&mut self, now: Time) {
        if self.stage != Stage::Connecting {
            return;
        }
        if self.may_connect_again(now) {
            return self.connect(now);
        }
        self.give_up(Refusal::NoUpstream, now);
    }

    pub(crate) fn on_declined(&mut self, now: Time) {
        if self.stage != Stage::AwaitingAnswer {
            return;
        }
        self.give_up(Refusal::Declined, now);
    }

    pub(crate) fn on_answered(&mut self, answer: Arc<StoredAnswer>, now: Time) {
        match self.stage {
            Stage::AwaitingAnswer | Stage::QueryingOutcome | Stage::Recording(None) => {}
            _ => return,
        }
        if self.key().is_some() {
            return self.record_outcome(Some(answer), now);
        }
        self.answer_caller(Ran::Run, AnswerContent::Fresh(answer));
        self.close(now);
    }

    pub(crate) fn on_connection_lost(&mut self, now: Time) {
        if self.stage != Stage::AwaitingAnswer {
            return;
        }
        match &self.call.kind {
            CallKind::Idempotent if self.may_connect_again(now) => self.connect(now),
            CallKind::Idempotent | CallKind::Keyless => self.end_with_answer_lost(now),
            CallKind::Keyed(key)
                if key.outcome_query == OutcomeQuery::Supported && now < self.answer_by() =>
            {
                self.enter_stage(Stage::QueryingOutcome, now);
                self.push_action(Action::QueryOutcome);
            }
            CallKind::Keyed(_) => self.record_outcome(None, now),
        }
    }

    pub(crate) fn on_outcome_queried(&mut self, reply: QueryReply, now: Time) {
        match (&self.stage, reply) {
            (Stage::QueryingOutcome | Stage::Recording(None), QueryReply::Ran(answer)) => {
                self.record_outcome(Some(answer), now);
            }
            (Stage::QueryingEarlierOutcome(_), QueryReply::Ran(answer)) => {
                self.record_queried_answer(answer, now);
            }
            (Stage::QueryingEarlierOutcome(refusal), QueryReply::NotKnown | QueryReply::Failed) => {
                let refusal = refusal.clone();
                self.refuse_caller(Ran::Unknown, refusal);
                self.close(now);
            }
            _ => {}
        }
    }

    /// Handles an earlier call under the key whose outcome is unknown.
    pub(crate) fn on_earlier_unknown(&mut self, since: LogTime, now: Time) {
        let refusal = Refusal::OutcomeUnknown { since };
        if self
            .key()
            .is_some_and(|key| key.outcome_query == OutcomeQuery::Supported)
        {
            self.enter_stage(Stage::QueryingEarlierOutcome(refusal), now);
            return self.push_action(Action::QueryOutcome);
        }
        self.refuse_caller(Ran::Unknown, refusal);
        self.close(now);
    }

    /// Gives up a call that did not run and never will.
    pub(crate) fn give_up(&mut self, refusal: Refusal, now: Time) {
        if self.key().is_some() {
            return self.withdraw(refusal, now);
        }
        // An idempotent call may have been sent over an earlier connection and have run.
        let may_have_run = 1 < self.connections_tried && self.sent == Sent::Yes;
        let ran = if may_have_run {
            Ran::Unknown
        } else {
            Ran::NotRun
        };
        self.refuse_caller(ran, refusal);
        self.close(now);
    }

    /// Ends a call without a key whose answer was lost or did not come in time.
    pub(crate) fn end_with_answer_lost(&mut self, now: Time) {
        self.refuse_caller(Ran::Unknown, Refusal::AnswerLost);
        self.close(now);
    }

    /// Whether a late answer is only awaited to be recorded: the caller no longer waits.
    pub(crate) fn awaits_late_answer(&self) -> bool {
        self.caller == CallerState::Finished && self.key().is_some()
    }
}
