//! This entry host's part of the retries that the whole deployment may make.
//!
//! In any time window the deployment may make `ratio` retries per request and `slack` more
//! of each service. Each entry host keeps the ratio for its own requests, and the slack is
//! divided evenly among the entry hosts.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use base::ServiceName;
use base::Time;

/// Part of the allowed retries that is used. The rest is a margin for entry hosts that come
/// and go, because the slack is divided by a count that may be out of date.
const USED_SHARE: f64 = 0.7;

/// Times of one service's requests and retries in the window.
#[derive(Clone, Debug, Default)]
struct ServiceHistory {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// Limits the retries of each service to this entry host's part.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries of the whole deployment that are allowed beyond the ratio, in each window.
    pub slack: f64,
    /// The time window over which requests and retries are counted.
    pub window: Duration,
    /// Number of entry hosts that share the slack.
    pub entry_hosts: usize,
    history: BTreeMap<ServiceName, ServiceHistory>,
}

impl RetryBudget {
    /// Creates an unused budget, as if this were the only entry host.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            entry_hosts: 1,
            history: BTreeMap::new(),
        }
    }

    /// Counts a new request from a caller.
    pub fn record_request(&mut self, service: &ServiceName, now: Time) {
        let window = self.window;
        let history = self.history.entry(service.clone()).or_default();
        history.requests.push_back(now);
        history.expire(window, now);
    }

    /// Whether a retry is left in the budget.
    pub fn has_retry(&mut self, service: &ServiceName, now: Time) -> bool {
        let window = self.window;
        let slack = self.slack / self.entry_hosts.max(1) as f64;
        let ratio = self.ratio;
        let history = self.history.entry(service.clone()).or_default();
        history.expire(window, now);
        let allowed = USED_SHARE * (ratio * history.requests.len() as f64 + slack);
        ((history.retries.len() + 1) as f64) <= allowed
    }

    /// Takes one retry from the budget. False if none is left.
    pub fn take_retry(&mut self, service: &ServiceName, now: Time) -> bool {
        let is_left = self.has_retry(service, now);
        if is_left {
            let history = self.history.entry(service.clone()).or_default();
            history.retries.push_back(now);
        }
        is_left
    }
}

impl ServiceHistory {
    fn expire(&mut self, window: Duration, now: Time) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at + window <= now) {
                times.pop_front();
            }
        }
    }
}
