//! A rate that forgets its past.

use std::time::Duration;

use base::Time;

/// Amounts a second, averaged over a span that the caller gives.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    value: f64,
    updated_at: Time,
}

impl Rate {
    pub fn add(&mut self, amount: f64, span: Duration, now: Time) {
        self.value = self.get(span, now) + amount / span.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    pub fn get(&self, span: Duration, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.value * (-age / span.as_secs_f64()).exp()
    }
}
