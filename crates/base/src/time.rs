//! A point in time on one process's clock.
//!
//! The daemon reads it from a clock that goes on while the host sleeps. Tests
//! make it up. Two processes' times are never compared.

use std::fmt;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Microseconds on the clock of one process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// A time that never comes.
    pub const NEVER: Self = Self(u64::MAX);

    /// The time this many milliseconds after the clock's start.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// How long ago `earlier` was, zero if it is still to come.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
