//! The outcomes of requests.

use std::time::Duration;

use super::traffic::Request;
use base::Time;
use base::TokenRate;

/// The outcome of one request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// When it was refused.
    pub refused: Option<Time>,
    /// When its first token arrived.
    pub first_token: Option<Time>,
    /// When its last token arrived.
    pub last_token: Option<Time>,
    /// The least engine time, in seconds, of the tokens that were processed for it in the window
    /// of the run.
    pub window_work: f64,
}

/// The terms of the contract of a request.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The time allowed to the first token, including the agreed wait.
    pub first_token_limit: Duration,
    /// The agreed tokens a second.
    pub token_rate: TokenRate,
}

impl Outcome {
    /// True if the time to the first token and the token rate kept the terms.
    pub fn is_in_time(&self, request: &Request, terms: &Terms) -> bool {
        let (Some(first_token), Some(last_token)) = (self.first_token, self.last_token) else {
            return false;
        };
        let output_time_limit_s = f64::from(request.output) / terms.token_rate.0;
        first_token.since(request.at) <= terms.first_token_limit
            && last_token.since(first_token).as_secs_f64() <= output_time_limit_s
    }
}

/// Statistics over some requests.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The number of requests.
    pub count: usize,
    /// Requests that one token bucket for all nodes would admit.
    pub within_contract: usize,
    /// Requests answered in time.
    pub in_time: usize,
    /// Requests refused.
    pub refused: usize,
    /// The engine time in the window that was spent on answers in time, in seconds.
    pub useful_work: f64,
    /// The times to first tokens in seconds, sorted.
    pub first_token_times: Vec<f64>,
    /// The times to refusals in seconds, sorted.
    pub refusal_times: Vec<f64>,
}

impl Summary {
    /// Computes the statistics of the chosen requests.
    pub fn of<'a>(
        chosen: impl Iterator<Item = (&'a Request, &'a Outcome)>,
        terms: impl Fn(&Request) -> Terms,
    ) -> Self {
        let mut summary = Self::default();
        for (request, outcome) in chosen {
            summary.count += 1;
            summary.within_contract += usize::from(request.is_within_contract);
            if outcome.is_in_time(request, &terms(request)) {
                summary.in_time += 1;
                summary.useful_work += outcome.window_work;
            }
            if let Some(first_token) = outcome.first_token {
                summary
                    .first_token_times
                    .push(first_token.since(request.at).as_secs_f64());
            }
            if let Some(refused) = outcome.refused {
                summary.refused += 1;
                summary
                    .refusal_times
                    .push(refused.since(request.at).as_secs_f64());
            }
        }
        summary.first_token_times.sort_by(f64::total_cmp);
        summary.refusal_times.sort_by(f64::total_cmp);
        summary
    }

    /// The share of requests answered in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.count.max(1) as f64
    }
}

/// The quantile of sorted values at `share`, between 0 and 1, or zero if there are none.
pub fn percentile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
}
