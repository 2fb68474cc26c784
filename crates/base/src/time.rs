//! A point in time on the monotonic clock of one process.
//!
//! The daemon reads it from a clock that also runs while the host is suspended. Tests
//! use virtual time. Times of different processes are never compared.

use std::fmt;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The longest span that is read from a number of seconds. Sums and multiples of it don't overflow.
const MAX_SPAN: Duration = Duration::from_secs(366 * 86_400);

/// Converts seconds to a span. Numbers that are too large become the longest one, those that are
/// negative or no numbers zero.
pub fn span_from_secs(secs: f64) -> Duration {
    match secs.is_nan() {
        true => Duration::ZERO,
        false => Duration::from_secs_f64(secs.clamp(0.0, MAX_SPAN.as_secs_f64())),
    }
}

/// A time on the clock of one process, in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// A time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// The time `ms` milliseconds after the start of the clock.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// The time from `earlier` to this time, zero if `earlier` is later.
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
