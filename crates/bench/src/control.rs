//! The processor time, bytes and memory that a node spends on control traffic.

use crate::config::members;
use crate::report::Report;

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("control", seed);
    for table in members::cost_tables(seed) {
        report = report.table(table);
    }
    report
}
