//! What a claim costs, and how many orders stay served under partitions.

use crate::report::Report;

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    Report::new("order", seed).note("not measured yet")
}
