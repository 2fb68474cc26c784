//! The open attempts of one incarnation of an entry node.

use std::collections::BTreeMap;

use derive_more::Display;
use derive_more::Error;

use crate::Action;
use crate::Attempt;
use crate::AttemptContext;
use crate::Call;
use crate::CallKind;
use crate::Event;
use crate::known_index::KnownIndex;
use base::Incarnation;
use base::NodeId;
use base::Time;
use state::AttemptId;

/// Why a call was not accepted. It was not sent; [`crate::CallKind::ran_if_unsent`]
/// says what its caller may be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum OpenError {
    /// The node holds as many open calls as it may.
    #[display("the node has {open} calls open and takes no more")]
    Busy {
        /// The number of open calls.
        open: usize,
    },
    /// The node's process was just paused for long; the call may have waited as long.
    #[display("the node was stopped for long and does not know how old the call is")]
    AfterPause,
}

/// The open attempts of one incarnation of an entry node, by their sequence.
#[derive(Clone, Debug)]
pub struct AttemptTable {
    node: NodeId,
    incarnation: Incarnation,
    next_sequence: u64,
    max_open: usize,
    open: BTreeMap<u64, Attempt>,
    known_index: KnownIndex,
}

impl AttemptTable {
    /// Creates an empty table that holds at most `max_open` attempts. Call it before
    /// the node listens for callers, so that no call can have arrived before `now`.
    pub fn new(now: Time, node: NodeId, incarnation: Incarnation, max_open: usize) -> Self {
        Self {
            node,
            incarnation,
            next_sequence: 1,
            max_open,
            open: BTreeMap::new(),
            known_index: KnownIndex::new(now),
        }
    }

    /// The number of open attempts.
    pub fn open_attempts(&self) -> usize {
        self.open.len()
    }

    /// Notes that the log is applied up to `index`, as a reply or another node says.
    pub fn note_applied_index(&mut self, index: u64, now: Time) {
        self.known_index.note_awake(now);
        self.known_index.note_applied(index);
    }

    /// Opens an attempt for a call. The returned sequence identifies the attempt in
    /// later events and actions.
    pub fn open_attempt(&mut self, call: Call, now: Time) -> Result<(u64, Vec<Action>), OpenError> {
        self.known_index.note_awake(now);
        let open = self.open.len();
        let floor = self.floor();
        if self.max_open <= open || state::MAX_OPEN_ATTEMPTS <= self.next_sequence - floor {
            return Err(OpenError::Busy { open });
        }
        if matches!(call.kind, CallKind::Keyed(_)) && self.known_index.may_be_stale() {
            return Err(OpenError::AfterPause);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let id = AttemptId {
            node: self.node,
            incarnation: self.incarnation,
            sequence,
        };
        let seen_index = self.known_index.index_before_arrival();
        let context = AttemptContext {
            id,
            floor,
            seen_index,
        };
        let (attempt, actions) = Attempt::start(call, context, now);
        self.open.insert(sequence, attempt);
        Ok((sequence, actions))
    }

    /// Handles an event of one attempt. An event of a closed attempt has no effect.
    pub fn handle_event(&mut self, sequence: u64, event: Event, now: Time) -> Vec<Action> {
        self.known_index.note_awake(now);
        let floor = self.floor();
        let Some(attempt) = self.open.get_mut(&sequence) else {
            return Vec::new();
        };
        let actions = attempt.handle_event(event, floor, now);
        if attempt.is_closed() {
            self.open.remove(&sequence);
        }
        actions
    }

    /// Sends a tick to the attempts that are due. Call it in each turn of the node's
    /// loop, several times a second even when no attempt is open.
    pub fn tick(&mut self, now: Time) -> Vec<(u64, Action)> {
        self.known_index.note_awake(now);
        let due = self.open.iter().filter(|(_, a)| a.wake_at() <= now);
        let due: Vec<_> = due.map(|(sequence, _)| *sequence).collect();
        let mut actions = Vec::new();
        for sequence in due {
            let wanted = self.handle_event(sequence, Event::Tick, now);
            actions.extend(wanted.into_iter().map(|action| (sequence, action)));
        }
        actions
    }

    /// When an attempt is next due for [`AttemptTable::tick`].
    pub fn wake_at(&self) -> Time {
        let wakes = self.open.values().map(Attempt::wake_at);
        wakes.min().unwrap_or(Time::NEVER)
    }

    /// The lowest sequence for which a claim may still be granted.
    fn floor(&self) -> u64 {
        let claiming = self.open.iter().find(|(_, attempt)| attempt.may_claim());
        claiming.map_or(self.next_sequence, |(sequence, _)| *sequence)
    }
}
