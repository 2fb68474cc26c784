//! Service at the crest of a demand swing.

use crate::report::Report;

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    Report::new("crest", seed).note("not measured yet")
}
