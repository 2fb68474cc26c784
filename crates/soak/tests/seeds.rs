//! Short seeded runs of the real programs. Each seed that ever broke a promise of the
//! product stays here with a line on its cause.

use std::time::Duration;

use soak::Plan;
use soak::Size;
use soak::run;

/// A seed with kills, cuts, a pause and a torn log in its first seconds.
const SHORT: u64 = 1;

#[test]
fn a_short_run_keeps_every_promise() {
    let plan = Plan::draw(SHORT, Size::default(), Duration::from_secs(12));
    let report = run(&plan).unwrap();
    assert!(report.findings.is_empty(), "{report:#?}");
    assert!(0 < report.orders && 0 < report.chats, "{report:#?}");
}
