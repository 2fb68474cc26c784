//! The time until a configuration change is in force on all nodes, and what changes cost.

pub mod members;
mod voters;

use crate::report::Report;

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    let mut report = voters::measure(Report::new("config", seed), seed);
    for table in members::tables(seed) {
        report = report.table(table);
    }
    report
}
