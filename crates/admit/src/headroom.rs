//! How far replicas are filled, by the first tokens of short work within contract.
//!
//! Reports lag, so no node knows how full a replica is. What a node does see is
//! its own first tokens: when too many of them take more than a part of the time
//! allowed, it fills replicas less, at once; else more, slowly.

/// Share of first tokens that may be slow.
const SLOW_SHARE: f64 = 0.02;
/// Change of the fill by one slow first token.
const STEP: f64 = 0.01;

/// How far replicas are filled with one kind of work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Headroom {
    fill: f64,
    /// The least fill.
    least: f64,
    /// Part of the time allowed that a first token may take before it counts as slow.
    slow_part: f64,
}

impl Headroom {
    /// For work beyond contracts, which yields early.
    pub fn lent() -> Self {
        Self {
            fill: 0.8,
            least: 0.4,
            slow_part: 0.6,
        }
    }

    /// For short work within contracts.
    pub fn within() -> Self {
        Self {
            fill: 1.0,
            least: 0.6,
            slow_part: 0.9,
        }
    }

    /// The fill, at most `most`.
    pub fn fill(&self, most: f64) -> f64 {
        self.fill.min(most)
    }

    /// Takes the part of the time allowed that a first token within contract took.
    pub fn observe(&mut self, part: f64, most: f64) {
        let change = if self.slow_part < part {
            -STEP
        } else {
            STEP * SLOW_SHARE
        };
        self.fill = (self.fill + change).clamp(self.least, most);
    }
}
