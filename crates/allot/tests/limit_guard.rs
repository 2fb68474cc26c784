//! When an entry host takes a limit for ended.

use allot::LimitChange;
use allot::LimitGuard;
use allot::LimitedProcess;
use allot::ShareHolder;
use allot::ShareList;
use base::Incarnation;
use base::NodeId;
use base::RequestRate;
use base::Time;
use base::UpstreamId;
use fleet::Edition;

const OWN: NodeId = NodeId(1);

fn process() -> UpstreamId {
    "p1".parse().unwrap()
}

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A guard that was told a limit of 2 a second at 1 s.
fn limited_guard() -> LimitGuard {
    let mut guard = LimitGuard::new(OWN);
    let named = Some(RequestRate(2.0));
    assert!(guard.record_answer(&process(), Incarnation(5), named, ms(900), ms(1_000)));
    guard
}

fn list(count: u64, holders: &[NodeId]) -> ShareList {
    let weighted = |entry: &NodeId| ShareHolder {
        entry: *entry,
        weight: 8,
    };
    ShareList {
        edition: Edition { term: 1, count },
        items: vec![LimitedProcess {
            process: process(),
            incarnation: Incarnation(5),
            rate: RequestRate(2.0),
            holders: holders.iter().map(weighted).collect(),
        }],
    }
}

#[test]
fn nothing_is_sent_before_the_leader_gives_a_share() {
    let mut guard = limited_guard();
    assert!(!guard.may_send(&process(), ms(9_000)));
    guard.apply(list(1, &[OWN, NodeId(2)]), ms(9_000));
    assert!(!guard.may_send(&process(), ms(9_900)));
    assert!(guard.may_send(&process(), ms(10_000)));
    guard.record_sent(&process(), ms(10_000));
    assert!(!guard.may_send(&process(), ms(10_500)));
    guard.apply(list(2, &[NodeId(2)]), ms(10_500));
    assert!(!guard.may_send(&process(), ms(20_000)));
}

#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_limit() {
    let mut guard = limited_guard();
    assert!(!guard.record_answer(&process(), Incarnation(5), None, ms(950), ms(1_100)));
    assert!(!guard.may_send(&process(), ms(1_200)));
    assert!(guard.record_answer(&process(), Incarnation(5), None, ms(1_150), ms(1_300)));
    assert!(guard.may_send(&process(), ms(1_300)));
    let reports = guard.take_reports(ms(1_300));
    assert_eq!(reports[0].change, LimitChange::Ended);
}

#[test]
fn an_answer_of_the_process_after_a_restart_ends_its_limit() {
    let mut guard = limited_guard();
    assert!(guard.record_answer(&process(), Incarnation(6), None, ms(950), ms(1_100)));
    assert!(guard.may_send(&process(), ms(1_100)));
}

#[test]
fn a_limit_ends_when_the_leader_no_longer_lists_it_and_silence_does_not_end_it() {
    let mut guard = limited_guard();
    guard.apply(list(1, &[NodeId(2)]), ms(1_100));
    assert!(!guard.may_send(&process(), ms(600_000)));
    let empty = ShareList {
        edition: Edition { term: 1, count: 2 },
        items: Vec::new(),
    };
    guard.apply(empty, ms(600_000));
    assert!(guard.may_send(&process(), ms(600_000)));
}
