//! When a caller that was refused should come back.
//!
//! It answers refusals while capacity is short or a process has just started. Callers
//! come back once or twice, so that a time too short spends a try on the same shortage.
//! The times are drawn from a span, so that those refused together don't return together.

use std::time::Duration;

use fastrand::Rng;

/// Another entry host probably takes it at once.
const ELSEWHERE: Duration = Duration::from_millis(100);

/// An upstream that refused once may take it now.
const AGAIN: Duration = Duration::from_millis(200);

/// From the start of a process until it knows where requests may go: a leader is elected,
/// engines' hosts have announced themselves, and the controller has listened to them.
const START: Duration = Duration::from_millis(2_800);

/// A place is free about one answer later.
const PLACE: Duration = Duration::from_millis(1_200);

/// A replica is formed again by then: a loss is noticed, hosts join, the first one opens.
const REPLICA: Duration = Duration::from_millis(1_800);

/// Callers wait at most this part of the time they have left.
const CALLER_PART: u32 = 3;

/// Half of the span from which a time is drawn, as a part of its middle.
const SPREAD: f64 = 0.35;

/// Why a caller was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// This process started so long ago, and knows no configuration or no targets yet.
    Starting(Duration),
    /// This process can't serve it, others probably can.
    ThisHost,
    /// There is no target.
    NoTarget,
    /// All targets have as many requests as they may.
    Full,
    /// Targets refused it.
    NotRun,
}

impl RefusalCause {
    /// When the caller should come back that has `left` of its time.
    pub fn retry_after(self, left: Duration, rng: &mut Rng) -> Duration {
        let middle = match self {
            Self::Starting(ago) => START.saturating_sub(ago).max(AGAIN),
            Self::ThisHost => return ELSEWHERE,
            Self::NoTarget => REPLICA,
            Self::Full => PLACE,
            Self::NotRun => return AGAIN,
        };
        let drawn = 1.0 + SPREAD * (2.0 * rng.f64() - 1.0);
        middle.mul_f64(drawn).min(left / CALLER_PART).max(ELSEWHERE)
    }
}
