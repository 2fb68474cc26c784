//! The attempts of one node's life.

use std::collections::BTreeMap;

use derive_more::Display;
use derive_more::Error;

use crate::Action;
use crate::Attempt;
use crate::AttemptContext;
use crate::Call;
use crate::CallKind;
use crate::Event;
use crate::heard::Heard;
use base::Incarnation;
use base::NodeId;
use base::Time;
use state::AttemptId;

/// Why a call was not taken in. It was not sent; [`crate::CallKind::ran_if_unsent`]
/// says what the caller may be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum OpenError {
    /// The node has as many calls open as it can hold.
    #[display("the node has {open} calls open and takes no more")]
    Busy {
        /// Calls that are open.
        open: usize,
    },
    /// The node was stopped for long, and the call may be as old.
    #[display("the node was stopped for long and does not know how old the call is")]
    AfterPause,
}

/// The attempts of one node's life.
#[derive(Clone, Debug)]
pub struct AttemptTable {
    node: NodeId,
    incarnation: Incarnation,
    next: u64,
    max_open: usize,
    open: BTreeMap<u64, Attempt>,
    heard: Heard,
}

impl AttemptTable {
    /// An empty book that holds at most `max_open` attempts. To be opened before
    /// the node listens for callers: no call can have waited since before `now`.
    pub fn new(now: Time, node: NodeId, incarnation: Incarnation, max_open: usize) -> Self {
        Self {
            node,
            incarnation,
            next: 1,
            max_open,
            open: BTreeMap::new(),
            heard: Heard::open(now),
        }
    }

    /// Attempts that are open.
    pub fn open_attempts(&self) -> usize {
        self.open.len()
    }

    /// Notes an index of the log that is known to be applied, from a reply or from
    /// another node.
    pub fn note_applied_index(&mut self, index: u64, now: Time) {
        self.heard.turn(now);
        self.heard.hear(index);
    }

    /// Takes in a call. The sequence names it in what follows.
    pub fn open_attempt(&mut self, call: Call, now: Time) -> Result<(u64, Vec<Action>), OpenError> {
        self.heard.turn(now);
        let open = self.open.len();
        let floor = self.floor();
        if self.max_open <= open || state::MAX_OPEN_ATTEMPTS <= self.next - floor {
            return Err(OpenError::Busy { open });
        }
        if matches!(call.kind, CallKind::Keyed(_)) && self.heard.may_be_stale() {
            return Err(OpenError::AfterPause);
        }
        let sequence = self.next;
        self.next += 1;
        let id = AttemptId {
            node: self.node,
            incarnation: self.incarnation,
            sequence,
        };
        let seen = self.heard.before_arrival();
        let admission = AttemptContext { id, floor, seen };
        let (attempt, steps) = Attempt::start(call, admission, now);
        self.open.insert(sequence, attempt);
        Ok((sequence, steps))
    }

    /// Takes in an event of one attempt. Nothing comes of one that is closed.
    pub fn handle_event(&mut self, sequence: u64, event: Event, now: Time) -> Vec<Action> {
        self.heard.turn(now);
        let floor = self.floor();
        let Some(attempt) = self.open.get_mut(&sequence) else {
            return Vec::new();
        };
        let steps = attempt.handle_event(event, floor, now);
        if attempt.is_closed() {
            self.open.remove(&sequence);
        }
        steps
    }

    /// Wakes the attempts whose time has come. To be called in each turn of the
    /// node's loop, several times a second also when there is nothing to do.
    pub fn tick(&mut self, now: Time) -> Vec<(u64, Action)> {
        self.heard.turn(now);
        let due = self.open.iter().filter(|(_, a)| a.wake_at() <= now);
        let due: Vec<_> = due.map(|(sequence, _)| *sequence).collect();
        let mut steps = Vec::new();
        for sequence in due {
            let found = self.handle_event(sequence, Event::Tick, now);
            steps.extend(found.into_iter().map(|step| (sequence, step)));
        }
        steps
    }

    /// When [`AttemptTable::tick`] is next wanted.
    pub fn wake_at(&self) -> Time {
        let wakes = self.open.values().map(Attempt::wake_at);
        wakes.min().unwrap_or(Time::NEVER)
    }

    /// The lowest sequence that may still be claimed for.
    fn floor(&self) -> u64 {
        let claiming = self.open.iter().find(|(_, attempt)| attempt.may_claim());
        claiming.map_or(self.next, |(sequence, _)| *sequence)
    }
}
