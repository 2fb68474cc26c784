//! Times of the log.

use std::ops::Add;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// A time of the log, in milliseconds. It has no relation to a date.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("{_0}ms")]
pub struct LogTime(pub u64);

impl LogTime {
    /// The time from `earlier` to this time, zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for LogTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}
