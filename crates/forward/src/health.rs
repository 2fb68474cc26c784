//! How a target did lately, as this entry host saw it.

use std::time::Duration;

use base::Time;

/// How long a target is left out after its first failure in a row. It doubles.
const FIRST_BAN: Duration = Duration::from_millis(400);

/// The longest time that a target is left out.
const LONGEST_BAN: Duration = Duration::from_secs(5);

/// How a target did lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    banned_until: Option<Time>,
}

impl Health {
    /// Takes that it answered.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Takes that it failed.
    pub fn record_failure(&mut self, now: Time) {
        let ban = FIRST_BAN * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        self.banned_until = Some(now + ban.min(LONGEST_BAN));
    }

    /// Leaves it out until this time.
    pub fn exclude_until(&mut self, until: Time) {
        let until = self.banned_until.map_or(until, |known| known.max(until));
        self.banned_until = Some(until);
    }

    /// Whether it is to be left out.
    pub fn is_excluded(&self, now: Time) -> bool {
        self.banned_until.is_some_and(|until| now < until)
    }
}
