//! The time of a commit, of recovery after the loss of the leader, and of catching up.

use std::time::Duration;

use fastrand::Rng;

use crate::config::voters::percentile_ms;
use crate::config::voters::sim::Encoding;
use crate::config::voters::sim::Sim;
use crate::report::Table;
use base::NodeId;

/// Trials of a commit and of a leader loss, for each number of voters.
const TRIALS: u64 = 200;
/// Changes that a voter misses before it catches up.
const MISSED_CHANGES: u64 = 500;
const COMMAND: [u8; 1_000] = [7; 1_000];

/// The time from a proposal at the leader to its commit, with one change at a time.
pub fn commit(seed: u64) -> Table {
    let mut table = Table::new(
        "voters: time from a proposal at the leader to its commit",
        &["voters", "changes", "p50 ms", "p99 ms", "bound ms"],
    );
    for size in [3, 5] {
        let mut sim = Sim::open(size, Encoding::Plain, seed);
        let leader = sim.wait_for_leader();
        let mut times: Vec<_> = (0..TRIALS)
            .map(|_| time_of_commit(&mut sim, leader))
            .collect();
        times.sort_unstable();
        let bound = 2 * sim.link_delay + sim.sync_time;
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

fn time_of_commit(sim: &mut Sim, leader: NodeId) -> Duration {
    sim.run(Duration::from_millis(37));
    let started = sim.now;
    let index = sim.propose(leader, &COMMAND).unwrap_or_default();
    sim.run_until(|sim| index <= sim.nodes[&leader].applied);
    sim.now.since(started)
}

/// The time from the loss of the leader to the next accepted change.
pub fn leader_loss(seed: u64) -> Table {
    let mut table = Table::new(
        "voters: leader loss to the next accepted change",
        &["voters", "trials", "p50 ms", "p99 ms", "max ms", "bound ms"],
    );
    for size in [3, 5] {
        let mut times: Vec<_> = (0..TRIALS)
            .map(|n| time_after_leader_loss(size, seed + n))
            .collect();
        times.sort_unstable();
        // The longest election timeout, three round trips at 3 ms one way, and two syncs of 2 ms.
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

fn time_after_leader_loss(size: u32, seed: u64) -> Duration {
    let mut sim = Sim::open(size, Encoding::Plain, seed);
    let leader = sim.wait_for_leader();
    sim.propose(leader, &COMMAND);
    sim.run(Duration::from_millis(Rng::with_seed(seed).u64(200..2_000)));
    sim.isolated.insert(leader);
    let started = sim.now;
    sim.run_until(|sim| sim.leader().is_some());
    let new_leader = sim.leader().unwrap_or_default();
    let index = sim.propose(new_leader, &COMMAND).unwrap_or_default();
    sim.run_until(|sim| index <= sim.nodes[&new_leader].applied);
    sim.now.since(started)
}

/// The time that a voter which missed changes takes to apply them all after its return.
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
        let runs: Vec<_> = (0..20)
            .map(|n| time_of_catch_up(by == "snapshot", seed + n))
            .collect();
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

/// Returns the time of the catch-up and the bytes that the leader sent during it.
fn time_of_catch_up(by_snapshot: bool, seed: u64) -> (Duration, u64) {
    let mut sim = Sim::open(3, Encoding::Json, seed);
    let leader = sim.wait_for_leader();
    let absent = if leader == NodeId(1) {
        NodeId(2)
    } else {
        NodeId(1)
    };
    sim.isolated.insert(absent);
    for _ in 0..MISSED_CHANGES {
        sim.propose(leader, &COMMAND);
        sim.run(Duration::from_millis(20));
    }
    let applied = sim.nodes[&leader].applied;
    if by_snapshot && let Some(node) = sim.nodes.get_mut(&leader) {
        // About as large as a configuration with all rules.
        node.voter.compact(applied, vec![7; 200_000]);
    }
    let bytes_before = sim.nodes[&leader].sent_bytes;
    sim.isolated.clear();
    let started = sim.now;
    sim.run_until(|sim| applied <= sim.nodes[&absent].applied);
    let bytes = sim.nodes[&leader].sent_bytes - bytes_before;
    (sim.now.since(started), bytes)
}
