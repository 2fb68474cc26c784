//! What the path through an entry node adds to a direct call.

use crate::report::Report;
use crate::report::Table;

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    let mut table = Table::new("not measured yet", &["requests/s", "first token ms"]);
    table.row(["-".to_owned(), "-".to_owned()]);
    Report::new("path", seed).table(table)
}
