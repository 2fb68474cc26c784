//! Classifies requests as short or long by their estimated work.

use base::TokenCount;
use route::Length;

/// Number of prompt tokens that cost as much as one generated token.
const PROMPT_TOKENS_PER_GENERATED: f64 = 10.0;
/// Change of the running median by one request, as a fraction of the median.
const MEDIAN_STEP: f64 = 0.02;

/// The work of a request, in generated tokens.
pub(crate) fn work(prompt: TokenCount, generated: f64) -> f64 {
    f64::from(prompt.0) / PROMPT_TOKENS_PER_GENERATED + generated
}

/// A running estimate of the median work of a model's requests, in generated tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkMedian {
    median: f64,
}

impl WorkMedian {
    /// Updates the median by the work of one request.
    pub fn add(&mut self, work: f64) {
        if self.median <= 0.0 {
            self.median = work;
        } else if work < self.median {
            self.median *= 1.0 - MEDIAN_STEP;
        } else {
            self.median *= 1.0 + MEDIAN_STEP;
        }
    }

    /// Classifies a request: long if its work exceeds the median by `long_factor`.
    pub fn classify(&self, work: f64, long_factor: f64) -> Length {
        if 0.0 < self.median && self.median * long_factor < work {
            Length::Long
        } else {
            Length::Short
        }
    }
}
