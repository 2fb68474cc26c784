//! A budget of second tries that shrinks when capacity is short.

/// Second tries earned by one answer.
const RETRIES_PER_ANSWER: f64 = 0.1;
/// The most second tries saved up.
const MAX_SAVED_RETRIES: f64 = 20.0;
/// Weight of one decision in the share of refusal_share.
const REFUSAL_WEIGHT: f64 = 0.02;

/// A budget of second tries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    saved: f64,
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
    /// Counts a request that was sent.
    pub fn record_sent(&mut self) {
        self.refusal_share -= REFUSAL_WEIGHT * self.refusal_share;
    }

    /// Counts a request that was refused because capacity was short.
    pub fn record_refusal(&mut self) {
        self.refusal_share += REFUSAL_WEIGHT * (1.0 - self.refusal_share);
    }

    /// Earns from a whole answer, less the more requests are refused.
    pub fn record_answer(&mut self) {
        let earned = RETRIES_PER_ANSWER * (1.0 - self.refusal_share).powi(2);
        self.saved = (self.saved + earned).min(MAX_SAVED_RETRIES);
    }

    /// Takes one second try, if the budget allows it.
    pub fn take_retry(&mut self) -> bool {
        let reserve = MAX_SAVED_RETRIES * self.refusal_share;
        if self.saved < 1.0 + reserve {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
