//! Configuration and voters, with real processes: killed, paused and wiped voters, concurrent
//! operators, lost responses.

use std::fs;
use std::time::Duration;

use rustix::process::Signal;

use base::NodeId;
use harness::Cluster;
use harness::NodeSpec;
use harness::rules_text;
use harness::wait_until;

const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time in which an accepted change must be in force everywhere.
const PROPAGATION_TIME: Duration = Duration::from_secs(6);

const ALL_NODES: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

fn three_voters() -> Cluster {
    let nodes = [
        NodeSpec::voter(1, 1),
        NodeSpec::voter(2, 2),
        NodeSpec::voter(3, 3),
    ];
    let cluster = Cluster::start(&nodes).unwrap();
    let applied = cluster
        .apply(NodeId(1), &rules_text(1), START_TIMEOUT)
        .unwrap();
    assert!(applied.status.success(), "{applied:?}\n{}", cluster.logs());
    cluster
}

fn changed_rules(change: u32) -> String {
    format!("{}# change {change}\n", rules_text(1))
}

fn others_than(excluded: NodeId) -> Vec<NodeId> {
    ALL_NODES.into_iter().filter(|id| *id != excluded).collect()
}

#[test]
fn a_killed_leader_is_replaced_and_catches_up() {
    let mut cluster = three_voters();
    let leader = cluster
        .leader(NodeId(1))
        .expect("a leader accepted the first change");
    cluster.node(leader).kill();
    let rest = others_than(leader);
    let applied = cluster
        .apply(rest[0], &changed_rules(2), START_TIMEOUT)
        .unwrap();
    assert!(applied.status.success(), "{applied:?}\n{}", cluster.logs());
    let reached = || rest.iter().all(|id| cluster.config_version(*id) == Some(2));
    assert!(wait_until(PROPAGATION_TIME, reached), "{}", cluster.logs());
    cluster.start_node(leader).unwrap();
    let caught_up = || cluster.config_version(leader) == Some(2);
    assert!(wait_until(START_TIMEOUT, caught_up), "{}", cluster.logs());
}

#[test]
fn a_frozen_leader_wakes_as_a_follower_and_never_goes_back() {
    let mut cluster = three_voters();
    let leader = cluster
        .leader(NodeId(1))
        .expect("a leader accepted the first change");
    cluster.node(leader).signal(Signal::STOP);
    let rest = others_than(leader);
    let applied = cluster
        .apply(rest[0], &changed_rules(2), START_TIMEOUT)
        .unwrap();
    assert!(applied.status.success(), "{applied:?}\n{}", cluster.logs());
    cluster.node(leader).signal(Signal::CONT);
    let versions: Vec<_> = (0..40)
        .filter_map(|_| cluster.config_version(leader))
        .collect();
    assert!(versions.is_sorted(), "a version went back: {versions:?}");
    assert_eq!(versions.last(), Some(&2), "{}", cluster.logs());
    assert_ne!(cluster.leader(leader), Some(leader));
}

#[test]
fn a_wiped_voter_does_not_count_as_remembering() {
    let mut cluster = three_voters();
    let wiped = others_than(cluster.leader(NodeId(1)).unwrap())[0];
    cluster.node(wiped).kill();
    fs::remove_dir_all(cluster.data_folder(wiped)).unwrap();
    cluster.start_node(wiped).unwrap();
    let rest = others_than(wiped);
    let applied = cluster
        .apply(rest[0], &changed_rules(2), START_TIMEOUT)
        .unwrap();
    assert!(applied.status.success(), "{applied:?}\n{}", cluster.logs());
    // Only two voters still have the records. With one of them gone, nothing may be accepted.
    cluster.node(rest[1]).kill();
    let applied = cluster
        .apply(rest[0], &changed_rules(3), Duration::from_secs(8))
        .unwrap();
    assert!(!applied.status.success(), "{applied:?}\n{}", cluster.logs());
    assert_eq!(cluster.config_version(rest[0]), Some(2));
}

#[test]
fn of_two_racing_operators_one_is_told_of_the_other() {
    let cluster = three_voters();
    let apply = |id: NodeId, change: u32| {
        let file = cluster.folder().join(format!("operator-{id}.toml"));
        fs::write(&file, changed_rules(change)).unwrap();
        let file = file.display().to_string();
        cluster
            .run_tool(id, &["apply", "--base", "v1", &file])
            .unwrap()
            .status
            .code()
    };
    let (first, second) = std::thread::scope(|scope| {
        let first = scope.spawn(|| apply(NodeId(1), 10));
        let second = scope.spawn(|| apply(NodeId(2), 20));
        (first.join().unwrap(), second.join().unwrap())
    });
    let mut codes = [first, second];
    codes.sort();
    assert_eq!(codes, [Some(0), Some(3)], "{}", cluster.logs());
    assert!(wait_until(PROPAGATION_TIME, || ALL_NODES
        .iter()
        .all(|id| cluster.config_version(*id) == Some(2))));
}

#[test]
fn a_change_sent_again_after_a_lost_answer_is_accepted_once() {
    let mut cluster = three_voters();
    let file = cluster.rules_file();
    fs::write(&file, changed_rules(2)).unwrap();
    let file = file.display().to_string();
    // The node is paused, so the tool times out and cannot tell whether the change was accepted.
    cluster.node(NodeId(1)).signal(Signal::STOP);
    let lost = cluster
        .run_tool(NodeId(1), &["--timeout-ms", "300", "apply", &file])
        .unwrap();
    assert_eq!(lost.status.code(), Some(4), "{lost:?}");
    cluster.node(NodeId(1)).signal(Signal::CONT);
    let again = || {
        let output = cluster.run_tool(NodeId(2), &["apply", &file]).unwrap();
        output.status.success()
    };
    assert!(wait_until(START_TIMEOUT, again), "{}", cluster.logs());
    std::thread::sleep(Duration::from_secs(2));
    assert!(
        ALL_NODES
            .iter()
            .all(|id| cluster.config_version(*id) == Some(2)),
        "{}",
        cluster.logs()
    );
}

#[test]
fn a_voter_without_a_quorum_serves_by_the_last_rules_it_knew() {
    let mut cluster = three_voters();
    assert!(wait_until(PROPAGATION_TIME, || cluster
        .config_version(NodeId(3))
        == Some(1)));
    for id in ALL_NODES {
        cluster.node(id).kill();
    }
    cluster.start_node(NodeId(3)).unwrap();
    assert!(
        wait_until(START_TIMEOUT, || cluster.config_version(NodeId(3))
            == Some(1)),
        "{}",
        cluster.logs()
    );
    let ready = cluster.caller(NodeId(3), "stall-7").get("/ready").unwrap();
    assert_eq!(ready.status, 200);
    // The call was not sent. The node does not know whether an earlier call under the key has
    // run, unless the caller says that there was none.
    let caller = cluster.caller(NodeId(3), "stall-7");
    let order = caller.call("orders", "{}", Some("k")).unwrap();
    assert_eq!((order.status, order.ran()), (503, "unknown"), "{order:?}");
    assert_eq!(order.json()["sent"], false, "{order:?}");
    let first = caller
        .with_first_call_header()
        .call("orders", "{}", Some("l"))
        .unwrap();
    assert_eq!((first.status, first.ran()), (503, "not-run"), "{first:?}");
}

#[test]
fn an_operator_replaces_a_voter_whose_disk_was_lost() {
    let mut cluster = three_voters();
    let lost = others_than(cluster.leader(NodeId(1)).unwrap())[0];
    cluster.node(lost).kill();
    fs::remove_dir_all(cluster.data_folder(lost)).unwrap();
    cluster.start_node(lost).unwrap();
    let rest = others_than(lost);
    let name = lost.to_string();
    let replaced = || {
        let output = cluster
            .run_tool(rest[0], &["voters", "--replace", &name])
            .unwrap();
        output.status.success()
    };
    assert!(wait_until(START_TIMEOUT, replaced), "{}", cluster.logs());
    let is_voter_again = || {
        let shown = cluster.run_tool_json(rest[0], &["voters"]);
        let members = shown["members"].as_array().cloned().unwrap_or_default();
        members
            .iter()
            .any(|row| row["node"] == lost.0 && row["duty"] == "voter")
    };
    assert!(
        wait_until(START_TIMEOUT, is_voter_again),
        "{}\n{}",
        cluster.run_tool_json(rest[0], &["voters"]),
        cluster.logs()
    );
    // The replaced voter counts again: without one of the others, changes are still accepted.
    cluster.node(rest[1]).kill();
    let applied = cluster
        .apply(rest[0], &changed_rules(2), START_TIMEOUT)
        .unwrap();
    assert!(applied.status.success(), "{applied:?}\n{}", cluster.logs());
}

#[test]
fn a_planned_stop_of_the_leader_hands_over() {
    let mut cluster = three_voters();
    let leader = cluster.leader(NodeId(1)).unwrap();
    let stopped = cluster.node(leader).stop(Duration::from_secs(20));
    assert!(
        stopped.is_some_and(|status| status.success()),
        "{}",
        cluster.logs()
    );
    let rest = others_than(leader);
    let file = cluster.rules_file();
    fs::write(&file, changed_rules(2)).unwrap();
    let applied = cluster
        .run_tool(rest[0], &["apply", &file.display().to_string()])
        .unwrap();
    assert!(applied.status.success(), "{applied:?}\n{}", cluster.logs());
}
