//! The part of the way between the node and the service.

use std::sync::Arc;

use crate::Action;
use crate::AnswerContent;
use crate::Attempt;
use crate::CallKind;
use crate::OutcomeQuery;
use crate::QueryReply;
use crate::Refusal;
use crate::Sent;
use crate::attempt::Told;
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
        // The node may have been frozen since the claim was granted.
        if self.send_by() <= now {
            self.step(Action::DropConnection);
            return self.give_up(Refusal::TooLate, now);
        }
        self.sent = Sent::Yes;
        self.go(Stage::Written, now);
        self.step(Action::WriteRequest);
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
        if self.stage != Stage::Written {
            return;
        }
        self.give_up(Refusal::Declined, now);
    }

    pub(crate) fn on_answered(&mut self, answer: Arc<StoredAnswer>, now: Time) {
        match self.stage {
            Stage::Written | Stage::Asking | Stage::Recording(None) => {}
            _ => return,
        }
        if self.key().is_some() {
            return self.record(Some(answer), now);
        }
        self.tell(Ran::Run, AnswerContent::Fresh(answer));
        self.close(now);
    }

    pub(crate) fn on_lost(&mut self, now: Time) {
        if self.stage != Stage::Written {
            return;
        }
        match &self.call.kind {
            CallKind::Idempotent if self.may_connect_again(now) => self.connect(now),
            CallKind::Idempotent | CallKind::Keyless => self.end_unknown(now),
            CallKind::Keyed(key)
                if key.outcome_query == OutcomeQuery::Supported && now < self.answer_by() =>
            {
                self.go(Stage::Asking, now);
                self.step(Action::QueryOutcome);
            }
            CallKind::Keyed(_) => self.record(None, now),
        }
    }

    pub(crate) fn on_asked(&mut self, reply: QueryReply, now: Time) {
        match (&self.stage, reply) {
            (Stage::Asking | Stage::Recording(None), QueryReply::Ran(answer)) => {
                self.record(Some(answer), now);
            }
            (Stage::AskingEarlier(_), QueryReply::Ran(answer)) => self.learn(answer, now),
            (Stage::AskingEarlier(refusal), QueryReply::NotKnown | QueryReply::Failed) => {
                let refusal = refusal.clone();
                self.refuse(Ran::Unknown, refusal);
                self.close(now);
            }
            _ => {}
        }
    }

    /// Handles a key whose earlier call has an unknown outcome.
    pub(crate) fn on_earlier_unknown(&mut self, since: LogTime, now: Time) {
        let refusal = Refusal::OutcomeUnknown { since };
        if self
            .key()
            .is_some_and(|key| key.outcome_query == OutcomeQuery::Supported)
        {
            self.go(Stage::AskingEarlier(refusal), now);
            return self.step(Action::QueryOutcome);
        }
        self.refuse(Ran::Unknown, refusal);
        self.close(now);
    }

    /// Gives up a call that did not run and will not.
    pub(crate) fn give_up(&mut self, refusal: Refusal, now: Time) {
        if self.key().is_some() {
            return self.withdraw(refusal, now);
        }
        // An earlier connection of a repeatable call may have carried it.
        let earlier = 1 < self.connects && self.sent == Sent::Yes;
        let ran = if earlier { Ran::Unknown } else { Ran::NotRun };
        self.refuse(ran, refusal);
        self.close(now);
    }

    /// Ends a call without a key whose answer did not come.
    pub(crate) fn end_unknown(&mut self, now: Time) {
        self.refuse(Ran::Unknown, Refusal::AnswerLost);
        self.close(now);
    }

    /// Whether the answer of the call, should it still come, is of use.
    pub(crate) fn awaits_late_answer(&self) -> bool {
        self.told == Told::Yes && self.key().is_some()
    }
}
