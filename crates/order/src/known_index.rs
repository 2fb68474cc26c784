//! The log index that the node knew when a call arrived.
//!
//! A call may have waited in the socket buffer, most of all while the process was
//! paused. An index therefore counts as known before its arrival only if it was noted
//! long enough before the call was read, in awake time: the time that the node's loop
//! ran, without pauses of the process.

use std::collections::VecDeque;
use std::time::Duration;

use base::Time;

/// The awake time within which every call that has arrived is read.
const MAX_READ_DELAY: Duration = Duration::from_secs(1);

/// The longest time between two turns of the node's loop that counts as awake time.
const MAX_AWAKE_GAP: Duration = Duration::from_millis(500);

/// The longest pause of the process after which a withdrawn key surely still refuses
/// the calls that waited during the pause.
const MAX_PAUSE: Duration = Duration::from_secs(state::KEY_CLOSED_FOR.as_secs() / 2);

/// Indexes that are noted within this awake time are kept as one entry.
const MERGE_WITHIN: Duration = Duration::from_millis(50);

/// The applied log indexes that the node knows, and since when.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownIndex {
    last_turn_at: Time,
    awake_time: Duration,
    latest_index: u64,
    /// The latest index that was known at least [`MAX_READ_DELAY`] of awake time ago.
    settled_index: u64,
    /// Later indexes than the settled one, the oldest first.
    recent: VecDeque<RecentIndex>,
    /// The awake time until which a call that is read may have waited too long.
    stale_until: Duration,
}

/// An index, and the awake times at which its entry was started and last changed.
#[derive(Clone, Copy, Debug)]
struct RecentIndex {
    first_noted_at: Duration,
    last_noted_at: Duration,
    index: u64,
}

impl KnownIndex {
    /// Starts without a known index. No call can have arrived before `now`.
    pub(crate) fn new(now: Time) -> Self {
        Self {
            last_turn_at: now,
            ..Self::default()
        }
    }

    /// Notes that the node's loop runs at `now`.
    pub(crate) fn note_awake(&mut self, now: Time) {
        let pause = now.since(self.last_turn_at);
        self.awake_time += pause.min(MAX_AWAKE_GAP);
        if MAX_PAUSE < pause {
            self.stale_until = self.awake_time + MAX_READ_DELAY;
        }
        self.last_turn_at = self.last_turn_at.max(now);
        while let Some(oldest) = self.recent.front()
            && oldest.last_noted_at + MAX_READ_DELAY <= self.awake_time
        {
            self.settled_index = oldest.index;
            self.recent.pop_front();
        }
    }

    /// Notes that the log is applied up to `index`.
    pub(crate) fn note_applied(&mut self, index: u64) {
        if index <= self.latest_index {
            return;
        }
        self.latest_index = index;
        let awake = self.awake_time;
        match self.recent.back_mut() {
            Some(newest) if awake < newest.first_noted_at + MERGE_WITHIN => {
                newest.last_noted_at = awake;
                newest.index = index;
            }
            _ => self.recent.push_back(RecentIndex {
                first_noted_at: awake,
                last_noted_at: awake,
                index,
            }),
        }
    }

    /// Whether a call that is read now may have waited longer than a withdrawn key
    /// refuses earlier calls.
    pub(crate) fn may_be_stale(&self) -> bool {
        self.awake_time < self.stale_until
    }

    /// The latest index that was surely known before any call that is read now arrived.
    pub(crate) fn index_before_arrival(&self) -> u64 {
        self.settled_index
    }
}
