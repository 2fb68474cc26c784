//! How long the answers of each route take, to tell whether one still fits before an end.

use std::collections::BTreeMap;
use std::time::Duration;

use base::RouteName;
use fleet::RequestKind;

/// Weight of the newest answer in the moving averages.
const WEIGHT: f64 = 0.1;

/// How many mean deviations above the mean a request is expected to take, if it can be repeated.
const REPEATABLE_DEVIATIONS: f64 = 1.0;

/// The same for requests that run once at most: their callers can't try again.
const ONCE_DEVIATIONS: f64 = 3.0;

#[derive(Clone, Copy, Debug)]
struct Times {
    mean_secs: f64,
    /// The mean distance from the mean.
    deviation_secs: f64,
}

/// Moving averages of the times from a request to the end of its answer, by route.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    routes: BTreeMap<RouteName, Times>,
}

impl AnswerTimes {
    /// Records how long an answer took.
    pub fn record(&mut self, route: &RouteName, took: Duration) {
        let secs = took.as_secs_f64();
        let Some(times) = self.routes.get_mut(route) else {
            let times = Times {
                mean_secs: secs,
                deviation_secs: 0.0,
            };
            self.routes.insert(route.clone(), times);
            return;
        };
        let distance = (secs - times.mean_secs).abs();
        times.deviation_secs += WEIGHT * (distance - times.deviation_secs);
        times.mean_secs += WEIGHT * (secs - times.mean_secs);
    }

    /// How long a request probably takes. Zero for a route without answers so far.
    pub fn expected(&self, route: &RouteName, kind: RequestKind) -> Duration {
        let deviations = match kind.is_retryable() {
            true => REPEATABLE_DEVIATIONS,
            false => ONCE_DEVIATIONS,
        };
        let times = self.routes.get(route);
        let expected = times.map(|times| times.mean_secs + deviations * times.deviation_secs);
        Duration::from_secs_f64(expected.unwrap_or_default())
    }
}
