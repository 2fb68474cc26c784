//! Recent health of a target, as seen by this entry host.

use std::time::Duration;

use base::Time;

/// How long a target is excluded after one failure. Doubles with each further failure in
/// a row.
const FIRST_EXCLUSION: Duration = Duration::from_millis(400);

/// The longest exclusion after failures.
const MAX_EXCLUSION: Duration = Duration::from_secs(5);

/// Consecutive failures of a target and its exclusion from the choice of targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    excluded_until: Option<Time>,
}

impl Health {
    /// Records an answer of the target, which ends its exclusion.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure of the target and excludes it for a while.
    pub fn record_failure(&mut self, now: Time) {
        let exclusion = FIRST_EXCLUSION * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        self.excluded_until = Some(now + exclusion.min(MAX_EXCLUSION));
    }

    /// Excludes the target until this time, or longer if it already is.
    pub fn exclude_until(&mut self, until: Time) {
        let until = self.excluded_until.map_or(until, |known| known.max(until));
        self.excluded_until = Some(until);
    }

    /// Whether the target is excluded at this time.
    pub fn is_excluded(&self, now: Time) -> bool {
        self.excluded_until.is_some_and(|until| now < until)
    }
}
