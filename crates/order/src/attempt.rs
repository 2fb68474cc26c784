//! One call from its arrival to the end of all that follows from it.

use std::mem;
use std::time::Duration;

use crate::Action;
use crate::Answer;
use crate::AnswerContent;
use crate::Call;
use crate::CallKind;
use crate::Event;
use crate::KeyTerms;
use crate::Refusal;
use crate::Sent;
use crate::stage::Stage;
use base::Ran;
use base::Time;
use state::AttemptId;

/// Connections that are tried for one call.
const MAX_CONNECTS: u32 = 3;

/// Whether the caller has its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    NotYet,
    Yes,
}

/// What a node gives a call when it takes it in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptContext {
    /// The attempt's id.
    pub id: AttemptId,
    /// The node's lowest sequence that may still be claimed for.
    pub floor: u64,
    /// The latest index of the log that the node knew before the call came in.
    pub seen: u64,
}

/// One call of a service at its entry node.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) seen: u64,
    pub(crate) call: Call,
    pub(crate) stage: Stage,
    /// The node's lowest sequence that may still be claimed for.
    pub(crate) floor: u64,
    pub(crate) opened_at: Time,
    /// When the present stage began.
    pub(crate) stage_at: Time,
    /// When the last proposal, question or connection was made.
    pub(crate) tried_at: Time,
    pub(crate) connects: u32,
    pub(crate) sent: Sent,
    pub(crate) told: Told,
    pub(crate) steps: Vec<Action>,
}

impl Attempt {
    /// Takes in a call.
    pub fn start(call: Call, admission: AttemptContext, now: Time) -> (Self, Vec<Action>) {
        let AttemptContext { id, floor, seen } = admission;
        let mut attempt = Self {
            id,
            seen,
            call,
            stage: Stage::Claiming,
            floor,
            opened_at: now,
            stage_at: now,
            tried_at: now,
            connects: 0,
            sent: Sent::No,
            told: Told::NotYet,
            steps: Vec::new(),
        };
        match attempt.call.kind {
            CallKind::Keyed(_) => attempt.propose_claim(now),
            CallKind::Idempotent | CallKind::Keyless => attempt.connect(now),
        }
        let steps = mem::take(&mut attempt.steps);
        (attempt, steps)
    }

    /// Takes in an event.
    pub fn handle_event(&mut self, event: Event, floor: u64, now: Time) -> Vec<Action> {
        self.floor = floor;
        match event {
            Event::Reply(reply) => self.on_reply(reply, now),
            Event::ProposalLost(proposal) => self.on_proposal_lost(proposal, now),
            Event::Connected => self.on_connected(now),
            Event::ConnectFailed => self.on_connect_failed(now),
            Event::Declined => self.on_declined(now),
            Event::Answered(answer) => self.on_answered(answer, now),
            Event::ConnectionLost => self.on_lost(now),
            Event::OutcomeQueried(reply) => self.on_asked(reply, now),
            Event::CallerGone => self.on_caller_gone(now),
            Event::Tick => self.on_tick(now),
        }
        mem::take(&mut self.steps)
    }

    /// When the next [`Event::Tick`] is wanted.
    pub fn wake_at(&self) -> Time {
        match self.stage {
            Stage::Closed => Time::NEVER,
            _ => self.next_wake(),
        }
    }

    /// Whether a claim of this attempt may still be on its way to the log.
    pub(crate) fn may_claim(&self) -> bool {
        matches!(self.stage, Stage::Claiming | Stage::Withdrawing(_))
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.stage == Stage::Closed
    }

    /// The key and its terms, of calls that have one.
    pub(crate) fn key(&self) -> Option<&KeyTerms> {
        match &self.call.kind {
            CallKind::Keyed(key) => Some(key),
            CallKind::Idempotent | CallKind::Keyless => None,
        }
    }

    pub(crate) fn send_by(&self) -> Time {
        self.opened_at + self.call.send_window()
    }

    pub(crate) fn answer_by(&self) -> Time {
        self.opened_at + self.call.deadline
    }

    pub(crate) fn go(&mut self, stage: Stage, now: Time) {
        self.stage = stage;
        self.stage_at = now;
        self.tried_at = now;
    }

    pub(crate) fn step(&mut self, step: Action) {
        self.steps.push(step);
    }

    /// Tells the caller, unless it was told before.
    pub(crate) fn tell(&mut self, ran: Ran, content: AnswerContent) {
        if self.told == Told::Yes {
            return;
        }
        self.told = Told::Yes;
        let sent = self.sent;
        self.step(Action::Answer(Answer { ran, sent, content }));
    }

    pub(crate) fn refuse(&mut self, ran: Ran, refusal: Refusal) {
        self.tell(ran, AnswerContent::Refused(refusal));
    }

    pub(crate) fn close(&mut self, now: Time) {
        if self.is_closed() {
            return;
        }
        self.go(Stage::Closed, now);
        self.step(Action::Close);
    }

    pub(crate) fn connect(&mut self, now: Time) {
        self.connects += 1;
        self.go(Stage::Connecting, now);
        self.step(Action::Connect);
    }

    pub(crate) fn may_connect_again(&self, now: Time) -> bool {
        self.connects < MAX_CONNECTS && now < self.send_by()
    }

    pub(crate) fn waited(&self, since: Time, span: Duration, now: Time) -> bool {
        since + span <= now
    }

    fn on_caller_gone(&mut self, now: Time) {
        self.told = Told::Yes;
        match self.stage {
            Stage::Claiming => self.give_up(Refusal::CallerGone, now),
            Stage::Connecting => {
                self.step(Action::DropConnection);
                self.give_up(Refusal::CallerGone, now);
            }
            Stage::AskingEarlier(_) => self.close(now),
            Stage::Written if self.key().is_none() => {
                self.step(Action::DropConnection);
                self.close(now);
            }
            _ => {}
        }
    }
}
