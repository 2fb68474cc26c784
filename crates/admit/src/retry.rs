//! A retry budget that shrinks when capacity is short.

/// Retries that one complete answer adds to the budget, if no request is refused.
const RETRIES_PER_ANSWER: f64 = 0.1;
/// The most retries that are saved up.
const MAX_SAVED_RETRIES: f64 = 20.0;
/// Weight of one decision in the average share of refusals.
const REFUSAL_WEIGHT: f64 = 0.02;

/// Limits the number of retries to a fraction of the number of complete answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    /// Retries in the budget.
    saved: f64,
    /// Recent share of requests that were refused.
    refusal_share: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED_RETRIES / 2.0,
            refusal_share: 0.0,
        }
    }
}

impl RetryBudget {
    /// Records a request that was sent.
    pub fn record_sent(&mut self) {
        self.refusal_share -= REFUSAL_WEIGHT * self.refusal_share;
    }

    /// Records a request that was refused because capacity was short.
    pub fn record_refusal(&mut self) {
        self.refusal_share += REFUSAL_WEIGHT * (1.0 - self.refusal_share);
    }

    /// Adds to the budget for a complete answer. The more requests are refused, the less.
    pub fn record_answer(&mut self) {
        let earned = RETRIES_PER_ANSWER * (1.0 - self.refusal_share).powi(2);
        self.saved = (self.saved + earned).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry if the budget allows it. The more requests are refused, the larger a
    /// part of the budget stays unused.
    pub fn take_retry(&mut self) -> bool {
        let reserve = MAX_SAVED_RETRIES * self.refusal_share;
        if self.saved < 1.0 + reserve {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
