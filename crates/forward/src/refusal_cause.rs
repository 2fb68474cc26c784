//! When a refused caller should retry.
//!
//! Callers retry only once or twice, so a delay that is too short wastes a try on the same
//! shortage. The delays are randomised, so that callers refused together don't retry
//! together.

use std::time::Duration;

use fastrand::Rng;

/// The delay if another entry host can probably serve the request at once. Also the shortest
/// delay.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// The delay if targets refused the request, because they may accept it now. Also the
/// shortest mean delay after a process start.
const REFUSED_DELAY: Duration = Duration::from_millis(200);

/// Time from the start of a process until it knows where requests may go: a leader has been
/// elected, the engines' hosts have announced themselves, and the controller has processed
/// the announcements.
const STARTUP_TIME: Duration = Duration::from_millis(2_800);

/// The mean delay if all targets are full. A slot is free after about one answer.
const FULL_DELAY: Duration = Duration::from_millis(1_200);

/// The mean delay if there is no target. It is the time to replace a replica: the loss is
/// detected, hosts join, and the first host starts to serve.
const NO_TARGET_DELAY: Duration = Duration::from_millis(1_800);

/// A caller waits at most its remaining time divided by this.
const TIME_LEFT_DIVISOR: u32 = 3;

/// The largest random deviation of a delay from its mean, as a fraction of the mean.
const SPREAD: f64 = 0.35;

/// The part of a rest over which callers that were refused during it are spread.
const RESTING_SPREAD: f64 = 0.1;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// This process started this long ago and knows no configuration or no targets yet.
    Starting(Duration),
    /// This process can't serve the request, but other entry hosts probably can.
    ThisHost,
    /// No target is known.
    NoTarget,
    /// All targets are full.
    Full,
    /// The targets refused the request without running it.
    NotRun,
    /// All targets asked for rest. The first is back after this time.
    Resting(Duration),
}

impl RefusalCause {
    /// The delay after which a caller with `left` of its time should retry. Partly random.
    pub fn retry_after(self, left: Duration, rng: &mut Rng) -> Duration {
        let mean = match self {
            Self::Starting(ago) => STARTUP_TIME.saturating_sub(ago).max(REFUSED_DELAY),
            Self::ThisHost => return MIN_DELAY,
            Self::NoTarget => NO_TARGET_DELAY,
            Self::Full => FULL_DELAY,
            Self::NotRun => return REFUSED_DELAY,
            // The caller is told the real time, also if it can't wait as long.
            Self::Resting(left) => {
                let spread = left.mul_f64(RESTING_SPREAD).max(MIN_DELAY);
                return left + spread.mul_f64(rng.f64());
            }
        };
        let factor = 1.0 + SPREAD * (2.0 * rng.f64() - 1.0);
        mean.mul_f64(factor)
            .min(left / TIME_LEFT_DIVISOR)
            .max(MIN_DELAY)
    }
}
