//! What the node knew of the log when a call came in.
//!
//! A call may have waited unread, longest while the process was stopped. The
//! node therefore vouches only for what it had heard well before it read the
//! call, counted in time during which it was awake.

use std::collections::VecDeque;
use std::time::Duration;

use base::Time;

/// Time awake within which every call that has come in is read.
const READ_WITHIN: Duration = Duration::from_secs(1);

/// The longest time between two turns of the node's loop that counts as awake.
const MAX_TURN: Duration = Duration::from_millis(500);

/// The longest sleep after which a withdrawn key still refuses the calls that
/// waited meanwhile.
const MAX_SLEEP: Duration = Duration::from_secs(state::KEY_CLOSED_FOR.as_secs() / 2);

/// Indexes that are heard within this time are kept as one.
const GRAIN: Duration = Duration::from_millis(50);

/// What the node has heard of the log's progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct Heard {
    turned_at: Time,
    awake: Duration,
    latest: u64,
    settled: u64,
    recent: VecDeque<Recent>,
    /// Until when a call may have waited too long, in time awake.
    stale_until: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Recent {
    first: Duration,
    last: Duration,
    index: u64,
}

impl Heard {
    /// Nothing was heard, and no call can have waited since before `now`.
    pub(crate) fn open(now: Time) -> Self {
        Self {
            turned_at: now,
            ..Self::default()
        }
    }

    /// Notes that the node is awake.
    pub(crate) fn turn(&mut self, now: Time) {
        let gap = now.since(self.turned_at);
        self.awake += gap.min(MAX_TURN);
        if MAX_SLEEP < gap {
            self.stale_until = self.awake + READ_WITHIN;
        }
        self.turned_at = self.turned_at.max(now);
        while let Some(oldest) = self.recent.front()
            && oldest.last + READ_WITHIN <= self.awake
        {
            self.settled = oldest.index;
            self.recent.pop_front();
        }
    }

    /// Notes that an index of the log was applied.
    pub(crate) fn hear(&mut self, index: u64) {
        if index <= self.latest {
            return;
        }
        self.latest = index;
        let awake = self.awake;
        match self.recent.back_mut() {
            Some(newest) if awake < newest.first + GRAIN => {
                newest.last = awake;
                newest.index = index;
            }
            _ => self.recent.push_back(Recent {
                first: awake,
                last: awake,
                index,
            }),
        }
    }

    /// Whether a call that is read now may have waited longer than a withdrawn key
    /// is closed.
    pub(crate) fn may_be_stale(&self) -> bool {
        self.awake < self.stale_until
    }

    /// The index that was surely heard before any call that is read now came in.
    pub(crate) fn before_arrival(&self) -> u64 {
        self.settled
    }
}
