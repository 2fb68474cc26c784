//! Time to go on after the leader is lost, and to catch up.

use std::time::Duration;

use fastrand::Rng;

use crate::config::voters::percentile_ms;
use crate::config::voters::sim::Sim;
use crate::config::voters::sim::Wire;
use crate::report::Table;
use base::NodeId;

const TRIALS: u64 = 200;
const MISSED: u64 = 500;
const COMMAND: [u8; 1_000] = [7; 1_000];

/// From a proposal at the leader to its commit, one at a time.
pub fn commit(seed: u64) -> Table {
    let mut table = Table::new(
        "voters: time from a proposal at the leader to its commit",
        &["voters", "changes", "p50 ms", "p99 ms", "bound ms"],
    );
    for size in [3, 5] {
        let mut sim = Sim::open(size, Wire::Plain, seed);
        let leader = sim.settle();
        let mut times: Vec<_> = (0..TRIALS).map(|_| commit_one(&mut sim, leader)).collect();
        times.sort_unstable();
        let bound = 2 * sim.link + sim.sync;
        table.row([
            size.to_string(),
            TRIALS.to_string(),
            percentile_ms(&times, 0.5),
            percentile_ms(&times, 0.99),
            percentile_ms(&[bound], 1.0),
        ]);
    }
    table
}

fn commit_one(sim: &mut Sim, leader: NodeId) -> Duration {
    sim.run(Duration::from_millis(37));
    let since = sim.now;
    let index = sim.propose(leader, &COMMAND).unwrap_or_default();
    sim.run_until(|sim| index <= sim.nodes[&leader].applied);
    sim.now.since(since)
}

/// From the leader's loss to the next accepted change.
pub fn leader_loss(seed: u64) -> Table {
    let mut table = Table::new(
        "voters: leader loss to the next accepted change",
        &["voters", "trials", "p50 ms", "p99 ms", "max ms", "bound ms"],
    );
    for size in [3, 5] {
        let mut times: Vec<_> = (0..TRIALS).map(|n| lose_leader(size, seed + n)).collect();
        times.sort_unstable();
        let bound = Duration::from_millis(1_400 + 3 * 2 * 3 + 2 * 2);
        table.row([
            size.to_string(),
            TRIALS.to_string(),
            percentile_ms(&times, 0.5),
            percentile_ms(&times, 0.99),
            percentile_ms(&times, 1.0),
            percentile_ms(&[bound], 1.0),
        ]);
    }
    table
}

fn lose_leader(size: u32, seed: u64) -> Duration {
    let mut sim = Sim::open(size, Wire::Plain, seed);
    let leader = sim.settle();
    sim.propose(leader, &COMMAND);
    sim.run(Duration::from_millis(Rng::with_seed(seed).u64(200..2_000)));
    sim.cut.insert(leader);
    let since = sim.now;
    sim.run_until(|sim| sim.leader().is_some());
    let next = sim.leader().unwrap_or_default();
    let index = sim.propose(next, &COMMAND).unwrap_or_default();
    sim.run_until(|sim| index <= sim.nodes[&next].applied);
    sim.now.since(since)
}

/// From the return of a voter that missed changes to having applied them all.
pub fn catch_up(seed: u64) -> Table {
    let mut table = Table::new(
        "voters: catch-up after 500 missed changes of 1,000 bytes",
        &[
            "by",
            "trials",
            "p50 ms",
            "max ms",
            "bytes sent by the leader",
        ],
    );
    for by in ["log", "snapshot"] {
        let runs: Vec<_> = (0..20).map(|n| miss(by == "snapshot", seed + n)).collect();
        let mut times: Vec<_> = runs.iter().map(|run| run.0).collect();
        times.sort_unstable();
        let bytes = runs.iter().map(|run| run.1).max().unwrap_or_default();
        table.row([
            by.to_owned(),
            runs.len().to_string(),
            percentile_ms(&times, 0.5),
            percentile_ms(&times, 1.0),
            bytes.to_string(),
        ]);
    }
    table
}

fn miss(by_snapshot: bool, seed: u64) -> (Duration, u64) {
    let mut sim = Sim::open(3, Wire::Json, seed);
    let leader = sim.settle();
    let away = if leader == NodeId(1) {
        NodeId(2)
    } else {
        NodeId(1)
    };
    sim.cut.insert(away);
    for _ in 0..MISSED {
        sim.propose(leader, &COMMAND);
        sim.run(Duration::from_millis(20));
    }
    let applied = sim.nodes[&leader].applied;
    if by_snapshot && let Some(node) = sim.nodes.get_mut(&leader) {
        // A state as large as one configuration file of all rules.
        node.voter.compact(applied, vec![7; 200_000]);
    }
    let before = sim.nodes[&leader].sent_bytes;
    sim.cut.clear();
    let since = sim.now;
    sim.run_until(|sim| applied <= sim.nodes[&away].applied);
    let bytes = sim.nodes[&leader].sent_bytes - before;
    (sim.now.since(since), bytes)
}
