//! How long short work waits behind long work.

use crate::report::Report;

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    Report::new("hol", seed).note("not measured yet")
}
