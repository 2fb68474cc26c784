//! How far replicas are filled, by the first tokens of short work within contract.
//!
//! Reports lag, so no node knows how full a replica is. What a node does see is
//! its own first tokens: when too many of them take more than a part of the time
//! allowed, it fills replicas less, at once; else more, slowly.

/// Share of first tokens that may be slow.
const SLOW_SHARE: f64 = 0.02;
/// Change of the fill by one slow first token.
const SLOW_TOKEN_STEP: f64 = 0.01;

/// How far replicas are filled with one kind of work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FillLimit {
    fill: f64,
    /// The min_fill fill.
    min_fill: f64,
    /// Part of the time allowed that a first token may take before it counts as slow.
    slow_fraction: f64,
}

impl FillLimit {
    /// For work beyond contracts, which yields early.
    pub fn for_spare() -> Self {
        Self {
            fill: 0.8,
            min_fill: 0.4,
            slow_fraction: 0.6,
        }
    }

    /// For short work within contracts.
    pub fn for_within() -> Self {
        Self {
            fill: 1.0,
            min_fill: 0.6,
            slow_fraction: 0.9,
        }
    }

    /// The fill, at most `most`.
    pub fn get(&self, max_fill: f64) -> f64 {
        self.fill.min(max_fill)
    }

    /// Takes the part of the time allowed that a first token within contract took.
    pub fn record_first_token(&mut self, fraction: f64, max_fill: f64) {
        let change = if self.slow_fraction < fraction {
            -SLOW_TOKEN_STEP
        } else {
            SLOW_TOKEN_STEP * SLOW_SHARE
        };
        self.fill = (self.fill + change).clamp(self.min_fill, max_fill);
    }
}
