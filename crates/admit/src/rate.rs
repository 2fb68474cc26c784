//! A rate that is averaged with exponential decay.

use std::time::Duration;

use base::Time;

/// An amount per second, averaged with exponential decay. The averaging time is passed with
/// each call and should stay the same.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    value: f64,
    updated_at: Time,
}

impl Rate {
    pub fn add(&mut self, amount: f64, averaging_time: Duration, now: Time) {
        self.value = self.get(averaging_time, now) + amount / averaging_time.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    pub fn get(&self, averaging_time: Duration, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.value * (-age / averaging_time.as_secs_f64()).exp()
    }
}
