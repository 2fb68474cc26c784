//! Replicas by real processes: lost hosts, a frozen controller, hosts that leave.

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

const UP: Duration = Duration::from_secs(40);

/// Three entry nodes and three hosts in one data centre, replicas of two hosts.
fn one_centre(hosts: impl Fn(u32) -> HostSpec) -> Cluster {
    let nodes = [
        NodeSpec::voter(1, 1),
        NodeSpec::voter(2, 1),
        NodeSpec::voter(3, 1),
    ];
    let mut cluster = Cluster::start(&nodes).unwrap();
    for id in 1..=3 {
        cluster.start_host(hosts(id)).unwrap();
    }
    let applied = cluster.apply(NodeId(1), &rules_text(2), UP).unwrap();
    assert!(applied.status.success(), "{applied:?}\n{}", cluster.logs());
    assert!(wait_until(UP, || is_served(&cluster)), "{}", cluster.logs());
    cluster
}

/// No fencing number is smaller on a host whose wall clock is right.
const FENCE_FLOOR: u64 = 1_000_000_000;

/// The fencing number that a node said it orders under.
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

/// The hosts of the replica that serves, by rank.
fn serving(cluster: &Cluster) -> Vec<HostId> {
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

/// What is seen from outside, for a failed test.
fn seen(cluster: &Cluster) -> String {
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
    let mut cluster = one_centre(|id| HostSpec::new(id, 1));
    assert!(
        wait_until(UP, || serving(&cluster).len() == 2),
        "{}",
        cluster.logs()
    );
    let hosts = serving(&cluster);
    let lost = hosts[1];
    // A stream that is under way is finished elsewhere or ends with an error, never short.
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
        let hosts = serving(&cluster);
        hosts.len() == 2 && !hosts.contains(&lost) && is_served(&cluster)
    };
    assert!(wait_until(UP, repaired), "{}", seen(&cluster));
    // The lost host comes back and is a spare.
    cluster.start_host(HostSpec::new(lost.0, 1)).unwrap();
    let spare = || {
        let status = cluster.run_tool_json(NodeId(1), &["status"]);
        let stranded = status["stranded"].as_array().cloned().unwrap_or_default();
        stranded.iter().any(|row| row["host"] == lost.0)
    };
    assert!(wait_until(UP, spare), "{}", cluster.logs());
}

#[test]
fn a_frozen_controller_is_replaced_and_orders_nothing_when_it_wakes() {
    let mut cluster = one_centre(|id| HostSpec::new(id, 1).ignoring_fences());
    let first = controller(&cluster, NodeId(1)).expect("a controller formed the replica");
    // Nobody remembers an earlier fencing number here: the wall clock gives the floor.
    assert!(
        FENCE_FLOOR < fence_in(&cluster.node(first).log()),
        "{}",
        cluster.logs()
    );
    cluster.node(first).signal(Signal::STOP);
    let other = [NodeId(1), NodeId(2), NodeId(3)]
        .into_iter()
        .find(|id| *id != first)
        .unwrap();
    let replaced = || controller(&cluster, other).is_some_and(|now| now != first);
    assert!(wait_until(UP, replaced), "{}", cluster.logs());
    let caller = cluster.caller(other, "stall-7");
    let served = || caller.chat("still?", 2).is_ok_and(|reply| reply.is_done());
    assert!(wait_until(UP, served), "{}", cluster.logs());
    assert!(
        wait_until(UP, || serving(&cluster).len() == 2),
        "{}",
        cluster.logs()
    );
    let hosts = serving(&cluster);
    cluster.node(first).signal(Signal::CONT);
    // It knows that it is not the controller any more, and the replica stays as it is.
    let agrees = || controller(&cluster, first).is_some_and(|now| now != first);
    assert!(wait_until(UP, agrees), "{}", cluster.logs());
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(100));
        let now = serving(&cluster);
        assert!(
            now.is_empty() || now == hosts,
            "{now:?}\n{}",
            cluster.logs()
        );
    }
    assert!(
        wait_until(UP, || serving(&cluster) == hosts),
        "{}",
        cluster.logs()
    );
    assert!(served());
}

#[test]
fn a_leaving_host_gets_no_new_work_and_finishes_what_it_has() {
    // Two replicas of one host each are not enough to tell: width two, three hosts.
    let mut cluster = one_centre(|id| HostSpec::new(id, 1));
    assert!(
        wait_until(UP, || serving(&cluster).len() == 2),
        "{}",
        cluster.logs()
    );
    let leaving = serving(&cluster)[0];
    let caller = cluster.caller(NodeId(3), "stall-7");
    let stream = std::thread::spawn(move || caller.chat("a tale", 150));
    std::thread::sleep(Duration::from_millis(500));
    cluster.host(leaving).signal(Signal::TERM);
    let told = Instant::now();
    std::thread::sleep(Duration::from_secs(3));
    // From three seconds on no node sends it anything.
    for id in [NodeId(1), NodeId(2), NodeId(3)] {
        let caller = cluster.caller(id, "stall-7");
        let reply = caller.chat("new work", 1);
        let hosts = serving(&cluster);
        let answered = reply.is_ok_and(|reply| reply.is_done());
        assert!(!answered || !hosts.contains(&leaving), "{}", cluster.logs());
    }
    assert!(told.elapsed() < Duration::from_secs(20));
    let reply = stream.join().unwrap().unwrap();
    assert!(reply.is_done(), "{reply:?}\n{}", cluster.logs());
}
