//! Which limits the leader keeps.

use std::time::Duration;

use allot::Allotment;
use allot::LimitChange;
use allot::LimitReport;
use base::Incarnation;
use base::NodeId;
use base::RequestRate;
use base::Time;
use base::UpstreamId;

const LIMITED: Incarnation = Incarnation(5);

fn report(ms_ago: u64) -> LimitReport {
    LimitReport {
        from: NodeId(1),
        process: "p1".parse().unwrap(),
        incarnation: LIMITED,
        change: LimitChange::Known(RequestRate(2.0)),
        ms_ago,
        wanted: RequestRate(3.0),
    }
}

/// How many limits a leader publishes that began a moment ago, was told one, and hears of the
/// process what `heard` says, after `span`.
fn published(heard: Option<Incarnation>, span: Duration) -> usize {
    let start = Time::from_millis(1_000);
    let mut leader = Allotment::default();
    leader.set_term(Some(3), start);
    leader.record(report(200), start);
    let heard = |_: &UpstreamId| heard;
    let mut now = start;
    while now < start + span {
        now += Duration::from_millis(100);
        leader.forget_ended_processes(heard, now);
        leader.tick(now);
    }
    leader.published().items.len()
}

#[test]
fn a_leader_that_has_not_heard_a_process_yet_keeps_its_limit() {
    assert_eq!(published(None, Duration::from_secs(5)), 1);
}

#[test]
fn a_limit_is_forgotten_after_a_restart_and_long_after_the_process_was_heard() {
    assert_eq!(published(Some(LIMITED), Duration::from_secs(300)), 1);
    assert_eq!(published(Some(Incarnation(6)), Duration::from_secs(5)), 0);
    assert_eq!(published(None, Duration::from_secs(300)), 0);
}
