//! How far replicas are filled, adjusted by times to first tokens.
//!
//! Load reports lag, so no node knows exactly how full a replica is. But each node sees the
//! first tokens of its own short requests within contracts. Each slow one lowers the limit at
//! once, and each other one raises it slightly. The limit is stable when exactly
//! [`SLOW_SHARE`] of the first tokens are slow.

/// The share of first tokens that may be slow.
const SLOW_SHARE: f64 = 0.02;
/// How much one slow first token lowers the limit, as a share of the slots.
const SLOW_TOKEN_STEP: f64 = 0.01;

/// The largest fill of replicas for one kind of work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FillLimit {
    /// The current limit, as a share of the slots.
    fill: f64,
    /// The lowest value of the limit.
    min_fill: f64,
    /// The fraction of the allowed time above which a first token counts as slow.
    slow_fraction: f64,
}

impl FillLimit {
    /// The limit for work beyond contracts. It is lowered early, so that this work yields.
    pub fn for_beyond() -> Self {
        Self {
            fill: 0.8,
            min_fill: 0.4,
            slow_fraction: 0.6,
        }
    }

    /// The limit for short requests within contracts.
    pub fn for_within() -> Self {
        Self {
            fill: 1.0,
            min_fill: 0.6,
            slow_fraction: 0.9,
        }
    }

    /// The limit, at most `max_fill`.
    pub fn get(&self, max_fill: f64) -> f64 {
        self.fill.min(max_fill)
    }

    /// Records the time to a first token within contract, as a fraction of the time allowed.
    pub fn record_first_token(&mut self, fraction: f64, max_fill: f64) {
        let change = if self.slow_fraction < fraction {
            -SLOW_TOKEN_STEP
        } else {
            SLOW_TOKEN_STEP * SLOW_SHARE
        };
        self.fill = (self.fill + change).clamp(self.min_fill, max_fill);
    }
}
