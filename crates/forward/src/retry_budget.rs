//! This entry host's part of the retries that the whole deployment may make.
//!
//! In any window the arrivals beyond the first of each request may be at most a ratio
//! of the requests, and a fixed number more. The ratio is kept by each entry host for
//! its own requests, and the fixed number is divided among them all.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use base::ServiceName;
use base::Time;

/// Part of what is allowed that is used, as entry hosts come and go.
const USED_SHARE: f64 = 0.7;

/// One service's requests and retries in the window.
#[derive(Clone, Debug, Default)]
struct Use {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// This entry host's part of the retries of each service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond the ratio, of the whole deployment.
    pub slack: f64,
    /// The window.
    pub window: Duration,
    /// Entry hosts among which the slack is divided.
    pub entry_hosts: usize,
    uses: BTreeMap<ServiceName, Use>,
}

impl RetryBudget {
    /// A budget of which nothing is used.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            entry_hosts: 1,
            uses: BTreeMap::new(),
        }
    }

    /// Counts a request that a caller sent.
    pub fn record_request(&mut self, service: &ServiceName, now: Time) {
        let window = self.window;
        let used = self.uses.entry(service.clone()).or_default();
        used.requests.push_back(now);
        used.expire(window, now);
    }

    /// Takes one retry, if one is left.
    pub fn take_retry(&mut self, service: &ServiceName, now: Time) -> bool {
        let window = self.window;
        let slack = self.slack / self.entry_hosts.max(1) as f64;
        let ratio = self.ratio;
        let used = self.uses.entry(service.clone()).or_default();
        used.expire(window, now);
        let allowed = USED_SHARE * (ratio * used.requests.len() as f64 + slack);
        let is_left = ((used.retries.len() + 1) as f64) <= allowed;
        if is_left {
            used.retries.push_back(now);
        }
        is_left
    }
}

impl Use {
    fn expire(&mut self, window: Duration, now: Time) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at + window <= now) {
                times.pop_front();
            }
        }
    }
}
