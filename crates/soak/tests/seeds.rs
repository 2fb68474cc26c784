//! Short seeded runs of the real programs. Each seed that ever violated a guarantee stays here
//! as a test, with a line on its cause.

use std::time::Duration;

use soak::ClusterSize;
use soak::Plan;
use soak::run;

/// A seed whose first seconds have kills, partitions, a pause and an unfinished log write.
const SHORT_RUN_SEED: u64 = 1;

#[test]
fn a_short_run_keeps_every_promise() {
    let plan = Plan::generate(
        SHORT_RUN_SEED,
        ClusterSize::default(),
        Duration::from_secs(12),
    );
    let report = run(&plan).unwrap();
    assert!(report.findings.is_empty(), "{report:#?}");
    assert!(0 < report.keyed_calls && 0 < report.chats, "{report:#?}");
}
