//! A bucket of turns that fills at a rate.

use std::time::Duration;

use base::RequestRate;
use base::Time;

/// The turns that a bucket holds at most, as the time in which they come. At least one.
const MAX_FILL: Duration = Duration::from_millis(500);

/// Turns to send a request, which come at a rate. It starts empty, so that a share which changes
/// hands brings no turns of its own.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    rate: RequestRate,
    turns: f64,
    filled_at: Time,
}

impl TokenBucket {
    pub fn empty(rate: RequestRate, now: Time) -> Self {
        Self {
            rate,
            turns: 0.0,
            filled_at: now,
        }
    }

    /// The rate at which turns come.
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Sets the rate from now on.
    pub fn set_rate(&mut self, rate: RequestRate, now: Time) {
        self.turns = self.turns_at(now);
        self.filled_at = now;
        self.rate = rate;
    }

    /// Whether there is a turn now.
    pub fn has_turn(&self, now: Time) -> bool {
        1.0 <= self.turns_at(now)
    }

    /// Takes a turn. Without one, the next comes later.
    pub fn take(&mut self, now: Time) {
        self.turns = self.turns_at(now) - 1.0;
        self.filled_at = now;
    }

    fn turns_at(&self, now: Time) -> f64 {
        let most = (self.rate.0 * MAX_FILL.as_secs_f64()).max(1.0);
        let new = self.rate.0 * now.since(self.filled_at).as_secs_f64();
        (self.turns + new).min(most)
    }
}
