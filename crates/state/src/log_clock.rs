//! The clock of the log, which stamps each command.
//!
//! The log's time must never run ahead of real time, or records would be removed
//! before their retention is over. It is therefore not a host's wall clock: a leader
//! continues from the latest time in the log by its own monotonic clock. The log's
//! time stands still while there is no leader, so records live longer, never shorter.

use crate::LogTime;
use base::Time;

/// The log's time, continued by one node's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogClock {
    latest_time: LogTime,
    observed_at: Time,
}

impl LogClock {
    /// Continues from `applied`, the time of the latest applied command.
    pub fn resume(applied: LogTime, now: Time) -> Self {
        Self {
            latest_time: applied,
            observed_at: now,
        }
    }

    /// Moves the clock forward to the time of an applied command, if that is later.
    pub fn observe(&mut self, applied: LogTime, now: Time) {
        if self.time_at(now) < applied {
            *self = Self::resume(applied, now);
        }
    }

    /// The log's time for a command that is appended at `now`.
    pub fn time_at(&self, now: Time) -> LogTime {
        self.latest_time + now.since(self.observed_at)
    }
}
