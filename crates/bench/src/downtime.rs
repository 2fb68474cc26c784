//! Group downtime and stranded accelerators under faults.

use crate::report::Report;

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    Report::new("downtime", seed).note("not measured yet")
}
