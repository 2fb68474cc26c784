//! Bytes and processor time of a voter, for each change and at rest.

use std::fs;
use std::time::Duration;

use crate::config::voters::sim::Sim;
use crate::config::voters::sim::Wire;
use crate::report::Table;
use base::NodeId;

const CHANGES: u64 = 2_000;
const REST: Duration = Duration::from_secs(600);

/// What one change costs, by its size.
pub fn per_change(seed: u64) -> Table {
    let mut table = Table::new(
        "voters: cost of a change",
        &[
            "voters",
            "bytes a change",
            "leader sends B",
            "follower sends B",
            "processor us",
        ],
    );
    for size in [3, 5] {
        for bytes in [200, 1_000, 20_000, 100_000] {
            let (leader, follower, micros) = change(size, bytes, seed);
            table.row([
                size.to_string(),
                bytes.to_string(),
                format!("{leader:.0}"),
                format!("{follower:.0}"),
                format!("{micros:.1}"),
            ]);
        }
    }
    table
}

/// Bytes sent by the leader and by a follower, and microseconds of a voter.
fn change(size: u32, bytes: usize, seed: u64) -> (f64, f64, f64) {
    let mut sim = Sim::open(size, Wire::Json, seed);
    let leader = sim.settle();
    let command = vec![7; bytes];
    let before = sent(&sim, leader);
    let began = processor_time();
    for n in 0..CHANGES {
        let index = sim.propose(leader, &command).unwrap_or_default();
        sim.run_until(|sim| index <= sim.nodes[&leader].applied);
        if n.is_multiple_of(100)
            && let Some(node) = sim.nodes.get_mut(&leader)
        {
            node.voter.compact(index, Vec::new());
        }
    }
    let micros = (processor_time() - began).as_secs_f64() * 1e6;
    let after = sent(&sim, leader);
    let each = |total: u64| total as f64 / CHANGES as f64;
    (
        each(after.0 - before.0),
        each(after.1 - before.1),
        micros / CHANGES as f64 / f64::from(size),
    )
}

/// What voters cost while nothing changes.
pub fn idle(seed: u64) -> Table {
    let mut table = Table::new(
        "voters: cost at rest",
        &[
            "voters",
            "leader sends B/s",
            "follower sends B/s",
            "processor share of a voter %",
        ],
    );
    for size in [1, 3, 5] {
        let mut sim = Sim::open(size, Wire::Json, seed);
        let leader = sim.settle();
        let before = sent(&sim, leader);
        let began = processor_time();
        sim.run(REST);
        let share = (processor_time() - began).as_secs_f64() / REST.as_secs_f64();
        let after = sent(&sim, leader);
        let rate = |total: u64| format!("{:.0}", total as f64 / REST.as_secs_f64());
        table.row([
            size.to_string(),
            rate(after.0 - before.0),
            rate(after.1 - before.1),
            format!("{:.4}", 100.0 * share / f64::from(size)),
        ]);
    }
    table
}

/// Bytes sent by the leader and, on average, by a follower.
fn sent(sim: &Sim, leader: NodeId) -> (u64, u64) {
    let others = sim.nodes.iter().filter(|(id, _)| **id != leader);
    let bytes: Vec<_> = others.map(|(_, node)| node.sent_bytes).collect();
    let mean = bytes.iter().sum::<u64>() / bytes.len().max(1) as u64;
    (sim.nodes[&leader].sent_bytes, mean)
}

/// The processor time of this thread so far.
fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}
