//! A budget of second tries that shrinks when capacity is short.

/// Second tries earned by one answer.
const EARNED: f64 = 0.1;
/// The most second tries saved up.
const MOST: f64 = 20.0;
/// Weight of one decision in the share of refusals.
const LEARN: f64 = 0.02;

/// A budget of second tries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    saved: f64,
    refusals: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MOST / 2.0,
            refusals: 0.0,
        }
    }
}

impl RetryBudget {
    /// Counts a request that was sent.
    pub fn admitted(&mut self) {
        self.refusals -= LEARN * self.refusals;
    }

    /// Counts a request that was refused because capacity was short.
    pub fn refused(&mut self) {
        self.refusals += LEARN * (1.0 - self.refusals);
    }

    /// Earns from a whole answer, less the more requests are refused.
    pub fn answered(&mut self) {
        let earned = EARNED * (1.0 - self.refusals).powi(2);
        self.saved = (self.saved + earned).min(MOST);
    }

    /// Takes one second try, if the budget allows it.
    pub fn take(&mut self) -> bool {
        let kept = MOST * self.refusals;
        if self.saved < 1.0 + kept {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
