//! Processor time, bytes and memory a node spends on control.

use crate::report::Report;

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    Report::new("control", seed).note("not measured yet")
}
