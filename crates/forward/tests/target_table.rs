//! The choice of a target, and how a standstill is seen.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::Incarnation;
use base::Time;
use base::UpstreamId;
use forward::ChooseError;
use forward::Health;
use forward::Load;
use forward::Target;
use forward::TargetId;
use forward::TargetQuery;
use forward::TargetTable;

fn target(id: &str, centre: &str, model: Option<&str>) -> Target {
    Target {
        id: id.parse().unwrap(),
        incarnation: Incarnation(1),
        addr: "127.0.0.1:1".parse().unwrap(),
        service: "s".parse().unwrap(),
        model: model.map(|model| model.parse().unwrap()),
        centre: centre.parse().unwrap(),
        slots: 4,
        time_factor: 1.0,
        own_requests: 0,
        other_requests: 0,
        own_prompt_secs: 0.0,
        other_prompt_secs: 0.0,
        streams: 0,
        health: Health::default(),
        last_output: Time::ZERO,
        busy_since: Time::ZERO,
    }
}

fn board(targets: Vec<Target>) -> TargetTable {
    let mut board = TargetTable::new("here".parse().unwrap(), 7);
    board.set_targets(targets);
    board
}

fn choose(board: &mut TargetTable, model: Option<&str>, at: u64) -> Result<TargetId, ChooseError> {
    let service = "s".parse().unwrap();
    let model = model.map(|model| model.parse().unwrap());
    let avoid = BTreeSet::new();
    let want = TargetQuery {
        service: &service,
        model: model.as_ref(),
        avoid: &avoid,
    };
    let chosen = board.choose(&want, Time::from_millis(at))?;
    Ok((chosen.id, chosen.incarnation))
}

#[test]
fn a_near_target_is_taken_until_it_is_fuller_than_the_link_is_worth() {
    let mut board = board(vec![
        target("near", "here", None),
        target("far", "there", None),
    ]);
    let mut taken: BTreeMap<UpstreamId, u32> = BTreeMap::new();
    for _ in 0..6 {
        let id = choose(&mut board, None, 0).unwrap();
        board.record_sent(&id, 0.0, Time::ZERO);
        *taken.entry(id.0).or_default() += 1;
    }
    let near: UpstreamId = "near".parse().unwrap();
    assert!((3..=4).contains(&taken[&near]), "{taken:?}");
}

#[test]
fn a_replica_of_another_model_is_never_taken_and_a_full_one_is_waited_for() {
    let mut board = board(vec![
        target("a", "here", Some("wide")),
        target("b", "here", Some("slim")),
    ]);
    // Four places, and one that waits at the target.
    for _ in 0..5 {
        let id = choose(&mut board, Some("wide"), 0).unwrap();
        assert_eq!(id.0.as_str(), "a");
        board.record_sent(&id, 0.0, Time::ZERO);
    }
    assert_eq!(
        choose(&mut board, Some("wide"), 0),
        Err(ChooseError::AllFull)
    );
    assert_eq!(
        choose(&mut board, Some("other"), 0),
        Err(ChooseError::NoneKnown)
    );
}

#[test]
fn a_target_stands_still_once_its_streams_give_nothing() {
    let mut board = board(vec![target("a", "here", Some("wide"))]);
    let id = choose(&mut board, Some("wide"), 0).unwrap();
    board.record_sent(&id, 0.0, Time::from_millis(1_000));
    // A prompt that is being read gives nothing for a while.
    assert!(!board.exclude_if_stalled(&id, Time::from_millis(1_900)));
    board.record_stream_start(&id);
    board.record_success(&id, Time::from_millis(2_000));
    assert!(!board.exclude_if_stalled(&id, Time::from_millis(2_300)));
    assert!(board.exclude_if_stalled(&id, Time::from_millis(2_400)));
    // It is left out for a while, until it gives something again.
    assert_eq!(
        choose(&mut board, Some("wide"), 2_500),
        Err(ChooseError::AllFull)
    );
    board.record_success(&id, Time::from_millis(2_600));
    assert!(choose(&mut board, Some("wide"), 2_700).is_ok());
}

#[test]
fn loads_told_by_others_count_and_own_ones_are_not_counted_twice() {
    let mut board = board(vec![target("a", "here", None), target("b", "here", None)]);
    let a: TargetId = ("a".parse().unwrap(), Incarnation(1));
    board.record_sent(&a, 0.0, Time::ZERO);
    let load = |requests| Load {
        requests,
        backlog: 0.0,
    };
    let loads = [
        ("a".parse().unwrap(), load(1)),
        ("b".parse().unwrap(), load(3)),
    ];
    let loads = BTreeMap::from(loads);
    board.set_total_loads(&loads);
    assert_eq!(board.get(&a.0).unwrap().load(), 1);
    assert_eq!(choose(&mut board, None, 0).unwrap(), a);
}

#[test]
fn a_plain_target_that_failed_is_taken_only_if_there_is_no_other() {
    let mut board = board(vec![target("a", "here", None), target("b", "here", None)]);
    let a: TargetId = ("a".parse().unwrap(), Incarnation(1));
    board.record_failure(&a, Time::ZERO);
    for _ in 0..20 {
        assert_ne!(choose(&mut board, None, 10).unwrap(), a);
    }
    let b: TargetId = ("b".parse().unwrap(), Incarnation(1));
    board.record_failure(&b, Time::ZERO);
    assert!(choose(&mut board, None, 10).is_ok());
}

#[test]
fn a_replica_that_reads_long_prompts_is_passed_over_for_one_that_writes() {
    let mut board = board(vec![
        target("reads", "here", Some("wide")),
        target("writes", "here", Some("wide")),
    ]);
    let id = |id: &str| (id.parse().unwrap(), Incarnation(1));
    let (reads, writes): (TargetId, TargetId) = (id("reads"), id("writes"));
    board.record_sent(&reads, 0.4, Time::ZERO);
    board.record_sent(&writes, 0.4, Time::ZERO);
    board.record_sent(&writes, 0.1, Time::ZERO);
    board.record_prompt_read(&writes, 0.5);
    assert_eq!(choose(&mut board, Some("wide"), 10).unwrap(), writes);
    board.record_prompt_read(&reads, 0.4);
    assert_eq!(choose(&mut board, Some("wide"), 10).unwrap(), reads);
}
