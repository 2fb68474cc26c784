//! Makes the times that commands carry.
//!
//! The log's time must never run ahead of real time, or records would be
//! forgotten before their promised end. It is therefore not a host's calendar:
//! a leader goes on from the latest time in the log by its own monotonic clock.
//! Time that passes while nobody leads is lost, so records live longer, never
//! shorter.

use crate::LogTime;
use base::Time;

/// The log's time as one node continues it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogClock {
    latest: LogTime,
    seen_at: Time,
}

impl LogClock {
    /// Continues from the time of the latest applied command.
    pub fn resume(applied: LogTime, now: Time) -> Self {
        Self {
            latest: applied,
            seen_at: now,
        }
    }

    /// Takes in the time of a command that was applied.
    pub fn observe(&mut self, applied: LogTime, now: Time) {
        if self.time_at(now) < applied {
            *self = Self::resume(applied, now);
        }
    }

    /// The time for a command that is appended now.
    pub fn time_at(&self, now: Time) -> LogTime {
        self.latest + now.since(self.seen_at)
    }
}
