//! How far replicas are filled with lent work.
//!
//! Work within its contract shows how much room there is: when too many of its
//! first tokens take more than a part of the time allowed, nodes lend less.

/// Part of the time allowed that a first token may take before it counts as slow.
const SLOW_PART: f64 = 0.6;
/// Share of first tokens that may be slow.
const SLOW_SHARE: f64 = 0.02;
/// Change of the fill by one slow first token.
const STEP: f64 = 0.01;
/// The least fill.
const LEAST: f64 = 0.4;

/// How far replicas are filled with lent work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lent {
    fill: f64,
}

impl Default for Lent {
    fn default() -> Self {
        Self { fill: 0.8 }
    }
}

impl Lent {
    /// The fill, at most `most`.
    pub fn fill(&self, most: f64) -> f64 {
        self.fill.min(most)
    }

    /// Takes the part of the time allowed that a first token within contract took. A
    /// refusal counts as one.
    pub fn observe(&mut self, part: f64, most: f64) {
        let change = if SLOW_PART < part {
            -STEP
        } else {
            STEP * SLOW_SHARE
        };
        self.fill = (self.fill + change).clamp(LEAST, most);
    }
}
