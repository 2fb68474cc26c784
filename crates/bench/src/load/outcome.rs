//! What became of the requests.

use std::time::Duration;

use super::traffic::Request;
use base::Time;
use base::TokenRate;

/// What became of one request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// When it was refused.
    pub refused: Option<Time>,
    /// When its first token came.
    pub first: Option<Time>,
    /// When its last token came.
    pub last: Option<Time>,
    /// Least engine time of what was done for it in the window, in seconds.
    pub window_work: f64,
}

/// What a request's contract asks for.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Time allowed to the first token, an agreed wait included.
    pub allowed: Duration,
    /// Tokens a second.
    pub token_rate: TokenRate,
}

impl Outcome {
    /// True if the first token and the rate were as paid for.
    pub fn is_in_time(&self, request: &Request, terms: &Terms) -> bool {
        let (Some(first), Some(last)) = (self.first, self.last) else {
            return false;
        };
        let paid = f64::from(request.output) / terms.token_rate.0;
        first.since(request.at) <= terms.allowed && last.since(first).as_secs_f64() <= paid
    }
}

/// Figures over some requests.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Requests.
    pub count: usize,
    /// Those that one token bucket for all nodes would admit.
    pub within: usize,
    /// Those answered in time.
    pub in_time: usize,
    /// Those refused.
    pub refused: usize,
    /// Engine time in the window that went to answers in time, in seconds.
    pub work: f64,
    /// Times to first tokens in seconds, sorted.
    pub first: Vec<f64>,
    /// Times to refusals in seconds, sorted.
    pub refusal: Vec<f64>,
}

impl Summary {
    /// Figures over the chosen requests.
    pub fn of<'a>(
        chosen: impl Iterator<Item = (&'a Request, &'a Outcome)>,
        terms: impl Fn(&Request) -> Terms,
    ) -> Self {
        let mut sum = Self::default();
        for (request, outcome) in chosen {
            sum.count += 1;
            sum.within += usize::from(request.is_within);
            if outcome.is_in_time(request, &terms(request)) {
                sum.in_time += 1;
                sum.work += outcome.window_work;
            }
            if let Some(first) = outcome.first {
                sum.first.push(first.since(request.at).as_secs_f64());
            }
            if let Some(refused) = outcome.refused {
                sum.refused += 1;
                sum.refusal.push(refused.since(request.at).as_secs_f64());
            }
        }
        sum.first.sort_by(f64::total_cmp);
        sum.refusal.sort_by(f64::total_cmp);
        sum
    }

    /// Share answered in time.
    pub fn share(&self) -> f64 {
        self.in_time as f64 / self.count.max(1) as f64
    }
}

/// A percentile of sorted values, zero if there are none.
pub fn percentile(sorted: &[f64], part: f64) -> f64 {
    let at = (sorted.len() as f64 * part).ceil() as usize;
    sorted.get(at.saturating_sub(1)).copied().unwrap_or(0.0)
}
