//! Replicas, with real processes: lost hosts, a paused controller, hosts that leave.

use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use base::HostId;
use base::NodeId;
use harness::Cluster;
use harness::HostSpec;
use harness::NodeSpec;
use harness::rules_text;
use harness::wait_until;

const START_TIMEOUT: Duration = Duration::from_secs(40);

/// Starts three voters and three hosts in one data centre, with replicas of two hosts.
fn start_cluster(hosts: impl Fn(u32) -> HostSpec) -> Cluster {
    let nodes = [
        NodeSpec::voter(1, 1),
        NodeSpec::voter(2, 1),
        NodeSpec::voter(3, 1),
    ];
    let mut cluster = Cluster::start(&nodes).unwrap();
    for id in 1..=3 {
        cluster.start_host(hosts(id)).unwrap();
    }
    let applied = cluster
        .apply(NodeId(1), &rules_text(2), START_TIMEOUT)
        .unwrap();
    assert!(applied.status.success(), "{applied:?}\n{}", cluster.logs());
    assert!(
        wait_until(START_TIMEOUT, || is_served(&cluster)),
        "{}",
        cluster.logs()
    );
    cluster
}

/// No fencing number is smaller if the wall clock is right.
const MIN_FENCE: u64 = 1_000_000_000;

/// The fencing number that a controller logged with event 400.
fn fence_in(log: &str) -> u64 {
    let line = log
        .lines()
        .find(|line| line.contains("[400]"))
        .unwrap_or_default();
    let fence = line.rsplit(" e").next().unwrap_or_default();
    fence.trim().parse().unwrap_or(0)
}

fn is_served(cluster: &Cluster) -> bool {
    let served = |id| {
        let caller = cluster.caller(NodeId(id), "stall-7");
        caller.chat("up?", 1).is_ok_and(|reply| reply.is_done())
    };
    (1..=3).all(served)
}

/// The hosts of the serving replica, by rank.
fn serving_hosts(cluster: &Cluster) -> Vec<HostId> {
    let status = cluster.run_tool_json(NodeId(2), &["status"]);
    let rows = status["replicas"].as_array().cloned().unwrap_or_default();
    let row = rows.iter().find(|row| row["state"] == "serving");
    let hosts = row
        .and_then(|row| row["hosts"].as_array().cloned())
        .unwrap_or_default();
    hosts
        .iter()
        .filter_map(serde_json::Value::as_u64)
        .map(|id| HostId(id as u32))
        .collect()
}

/// Responses, status and logs, to print when a test fails.
fn diagnostics(cluster: &Cluster) -> String {
    let answer = |id| cluster.caller(NodeId(id), "stall-7").chat("seen?", 1);
    let answers: Vec<_> = (1..=3).map(answer).collect();
    let status = cluster.run_tool_json(NodeId(2), &["status"]);
    format!("{answers:?}\n{status}\n{}", cluster.logs())
}

fn controller(cluster: &Cluster, seen_by: NodeId) -> Option<NodeId> {
    let controller = cluster.run_tool_json(seen_by, &["status"])["controller"].as_u64()?;
    u32::try_from(controller).ok().map(NodeId)
}

#[test]
fn a_lost_host_ends_its_replica_and_a_spare_takes_its_place() {
    let mut cluster = start_cluster(|id| HostSpec::new(id, 1));
    assert!(
        wait_until(START_TIMEOUT, || serving_hosts(&cluster).len() == 2),
        "{}",
        cluster.logs()
    );
    let hosts = serving_hosts(&cluster);
    let lost = hosts[1];
    // An open stream is finished elsewhere or ends with an error, never early without one.
    let caller = cluster.caller(NodeId(1), "stall-7");
    let stream = std::thread::spawn(move || caller.chat("a tale", 400));
    std::thread::sleep(Duration::from_millis(300));
    cluster.host(lost).kill();
    let reply = stream.join().unwrap().unwrap();
    assert!(
        reply.is_done() || reply.body.contains("event: error"),
        "{reply:?}"
    );
    let repaired = || {
        let hosts = serving_hosts(&cluster);
        hosts.len() == 2 && !hosts.contains(&lost) && is_served(&cluster)
    };
    assert!(
        wait_until(START_TIMEOUT, repaired),
        "{}",
        diagnostics(&cluster)
    );
    // The lost host is started again and is a spare.
    cluster.start_host(HostSpec::new(lost.0, 1)).unwrap();
    let spare = || {
        let status = cluster.run_tool_json(NodeId(1), &["status"]);
        let stranded = status["stranded"].as_array().cloned().unwrap_or_default();
        stranded.iter().any(|row| row["host"] == lost.0)
    };
    assert!(wait_until(START_TIMEOUT, spare), "{}", cluster.logs());
}

#[test]
fn a_frozen_controller_is_replaced_and_orders_nothing_when_it_wakes() {
    let mut cluster = start_cluster(|id| HostSpec::new(id, 1).ignoring_fences());
    let first = controller(&cluster, NodeId(1)).expect("a controller formed the replica");
    // No earlier fencing number is known here, so the wall clock gives the first one.
    assert!(
        MIN_FENCE < fence_in(&cluster.node(first).log()),
        "{}",
        cluster.logs()
    );
    cluster.node(first).signal(Signal::STOP);
    let other = [NodeId(1), NodeId(2), NodeId(3)]
        .into_iter()
        .find(|id| *id != first)
        .unwrap();
    let replaced = || controller(&cluster, other).is_some_and(|now| now != first);
    assert!(wait_until(START_TIMEOUT, replaced), "{}", cluster.logs());
    let caller = cluster.caller(other, "stall-7");
    let served = || caller.chat("still?", 2).is_ok_and(|reply| reply.is_done());
    assert!(wait_until(START_TIMEOUT, served), "{}", cluster.logs());
    assert!(
        wait_until(START_TIMEOUT, || serving_hosts(&cluster).len() == 2),
        "{}",
        cluster.logs()
    );
    let hosts = serving_hosts(&cluster);
    cluster.node(first).signal(Signal::CONT);
    // The paused node learns that it is no longer the controller, and the replica is unchanged.
    let agrees = || controller(&cluster, first).is_some_and(|now| now != first);
    assert!(wait_until(START_TIMEOUT, agrees), "{}", cluster.logs());
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(100));
        let now = serving_hosts(&cluster);
        assert!(
            now.is_empty() || now == hosts,
            "{now:?}\n{}",
            cluster.logs()
        );
    }
    assert!(
        wait_until(START_TIMEOUT, || serving_hosts(&cluster) == hosts),
        "{}",
        cluster.logs()
    );
    assert!(served());
}

#[test]
fn a_leaving_host_gets_no_new_work_and_finishes_what_it_has() {
    // Three hosts and replicas of two hosts give only one replica, so it is known which hosts
    // serve a request.
    let mut cluster = start_cluster(|id| HostSpec::new(id, 1));
    assert!(
        wait_until(START_TIMEOUT, || serving_hosts(&cluster).len() == 2),
        "{}",
        cluster.logs()
    );
    let leaving = serving_hosts(&cluster)[0];
    let caller = cluster.caller(NodeId(3), "stall-7");
    let stream = std::thread::spawn(move || caller.chat("a tale", 150));
    std::thread::sleep(Duration::from_millis(500));
    cluster.host(leaving).signal(Signal::TERM);
    let signalled = Instant::now();
    std::thread::sleep(Duration::from_secs(3));
    // Three seconds later no node sends new work to it.
    for id in [NodeId(1), NodeId(2), NodeId(3)] {
        let caller = cluster.caller(id, "stall-7");
        let reply = caller.chat("new work", 1);
        let hosts = serving_hosts(&cluster);
        let answered = reply.is_ok_and(|reply| reply.is_done());
        assert!(!answered || !hosts.contains(&leaving), "{}", cluster.logs());
    }
    assert!(signalled.elapsed() < Duration::from_secs(20));
    let reply = stream.join().unwrap().unwrap();
    assert!(reply.is_done(), "{reply:?}\n{}", cluster.logs());
}
