//! The state machine of one call at its entry node.

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

/// The most connections that are opened to send one call.
const MAX_CONNECTIONS_PER_CALL: u32 = 3;

/// Whether the caller still waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerState {
    Waiting,
    /// The caller has its answer or has disconnected.
    Finished,
}

/// What the node assigns to a call when it accepts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptContext {
    /// The id of the attempt.
    pub id: AttemptId,
    /// The lowest sequence of this node for which a claim may still be granted.
    pub floor: u64,
    /// The latest log index that the node surely knew before the call arrived.
    pub seen_index: u64,
}

/// One call of a service at its entry node, until its outcome is settled.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) seen_index: u64,
    pub(crate) call: Call,
    pub(crate) stage: Stage,
    /// The lowest sequence of this node for which a claim may still be granted.
    pub(crate) floor: u64,
    pub(crate) opened_at: Time,
    /// When the current stage began.
    pub(crate) stage_since: Time,
    /// When the last proposal, outcome query or connection was started.
    pub(crate) last_try_at: Time,
    pub(crate) connections_tried: u32,
    pub(crate) sent: Sent,
    pub(crate) caller: CallerState,
    pub(crate) actions: Vec<Action>,
}

impl Attempt {
    /// Starts the attempt of a call.
    pub fn start(call: Call, context: AttemptContext, now: Time) -> (Self, Vec<Action>) {
        let AttemptContext {
            id,
            floor,
            seen_index,
        } = context;
        let mut attempt = Self {
            id,
            seen_index,
            call,
            stage: Stage::Claiming,
            floor,
            opened_at: now,
            stage_since: now,
            last_try_at: now,
            connections_tried: 0,
            sent: Sent::No,
            caller: CallerState::Waiting,
            actions: Vec::new(),
        };
        match attempt.call.kind {
            CallKind::Keyed(_) => attempt.propose_claim(now),
            CallKind::Idempotent | CallKind::Keyless => attempt.connect(now),
        }
        let actions = mem::take(&mut attempt.actions);
        (attempt, actions)
    }

    /// Handles an event. `floor` is the current value, as in [`AttemptContext`].
    pub fn handle_event(&mut self, event: Event, floor: u64, now: Time) -> Vec<Action> {
        self.floor = floor;
        match event {
            Event::Reply(reply) => self.on_reply(reply, now),
            Event::ProposalLost(proposal) => self.on_proposal_lost(proposal, now),
            Event::Connected => self.on_connected(now),
            Event::ConnectFailed => self.on_connect_failed(now),
            Event::Declined => self.on_declined(now),
            Event::Answered(answer) => self.on_answered(answer, now),
            Event::ConnectionLost => self.on_connection_lost(now),
            Event::OutcomeQueried(reply) => self.on_outcome_queried(reply, now),
            Event::CallerGone => self.on_caller_gone(now),
            Event::Tick => self.on_tick(now),
        }
        mem::take(&mut self.actions)
    }

    /// When the attempt next needs an [`Event::Tick`].
    pub fn wake_at(&self) -> Time {
        match self.stage {
            Stage::Closed => Time::NEVER,
            _ => self.next_wake(),
        }
    }

    /// Whether a claim of this attempt may still be appended to the log.
    pub(crate) fn may_claim(&self) -> bool {
        matches!(self.stage, Stage::Claiming | Stage::Withdrawing(_))
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.stage == Stage::Closed
    }

    /// The key and its terms, if the call has a key.
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

    pub(crate) fn enter_stage(&mut self, stage: Stage, now: Time) {
        self.stage = stage;
        self.stage_since = now;
        self.last_try_at = now;
    }

    pub(crate) fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Answers the caller, unless it has its answer or has disconnected.
    pub(crate) fn answer_caller(&mut self, ran: Ran, content: AnswerContent) {
        if self.caller == CallerState::Finished {
            return;
        }
        self.caller = CallerState::Finished;
        let sent = self.sent;
        self.push_action(Action::Answer(Answer { ran, sent, content }));
    }

    pub(crate) fn refuse_caller(&mut self, ran: Ran, refusal: Refusal) {
        self.answer_caller(ran, AnswerContent::Refused(refusal));
    }

    pub(crate) fn close(&mut self, now: Time) {
        if self.is_closed() {
            return;
        }
        self.enter_stage(Stage::Closed, now);
        self.push_action(Action::Close);
    }

    pub(crate) fn connect(&mut self, now: Time) {
        self.connections_tried += 1;
        self.enter_stage(Stage::Connecting, now);
        self.push_action(Action::Connect);
    }

    pub(crate) fn may_connect_again(&self, now: Time) -> bool {
        self.connections_tried < MAX_CONNECTIONS_PER_CALL && now < self.send_by()
    }

    pub(crate) fn has_elapsed(&self, since: Time, span: Duration, now: Time) -> bool {
        since + span <= now
    }

    fn on_caller_gone(&mut self, now: Time) {
        self.caller = CallerState::Finished;
        match self.stage {
            Stage::Claiming => self.give_up(Refusal::CallerGone, now),
            Stage::Connecting => {
                self.push_action(Action::DropConnection);
                self.give_up(Refusal::CallerGone, now);
            }
            Stage::QueryingEarlierOutcome(_) => self.close(now),
            Stage::AwaitingAnswer if self.key().is_none() => {
                self.push_action(Action::DropConnection);
                self.close(now);
            }
            _ => {}
        }
    }
}
