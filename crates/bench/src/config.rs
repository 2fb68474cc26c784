//! Time until a change is in force everywhere, and what changes cost.

use crate::report::Report;

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    Report::new("config", seed).note("not measured yet")
}
