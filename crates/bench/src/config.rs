//! Time until a change is in force everywhere, and what changes cost.

use crate::report::Report;

mod voters;

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    voters::measure(Report::new("config", seed), seed)
}
