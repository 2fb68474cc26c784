//! The bytes that a voter sends and the processor time it takes, for each change and while idle.

use std::fs;
use std::time::Duration;

use crate::config::voters::sim::Encoding;
use crate::config::voters::sim::Sim;
use crate::report::Table;
use base::NodeId;

/// Changes that are measured for each size.
const CHANGE_COUNT: u64 = 2_000;
/// Virtual time without changes that is measured.
const IDLE_TIME: Duration = Duration::from_secs(600);

/// The cost of one change, by number of voters and size of the change.
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
            let (leader, follower, cpu_us) = cost_of_change(size, bytes, seed);
            table.row([
                size.to_string(),
                bytes.to_string(),
                format!("{leader:.0}"),
                format!("{follower:.0}"),
                format!("{cpu_us:.1}"),
            ]);
        }
    }
    table
}

/// Returns for one change the bytes sent by the leader and by a follower, and the processor time
/// of a voter in microseconds.
fn cost_of_change(size: u32, bytes: usize, seed: u64) -> (f64, f64, f64) {
    let mut sim = Sim::open(size, Encoding::Json, seed);
    let leader = sim.wait_for_leader();
    let command = vec![7; bytes];
    let bytes_before = sent_bytes(&sim, leader);
    let cpu_before = processor_time();
    for n in 0..CHANGE_COUNT {
        let index = sim.propose(leader, &command).unwrap_or_default();
        sim.run_until(|sim| index <= sim.nodes[&leader].applied);
        if n.is_multiple_of(100)
            && let Some(node) = sim.nodes.get_mut(&leader)
        {
            node.voter.compact(index, Vec::new());
        }
    }
    let cpu_us = (processor_time() - cpu_before).as_secs_f64() * 1e6;
    let bytes_after = sent_bytes(&sim, leader);
    let mean = |total: u64| total as f64 / CHANGE_COUNT as f64;
    (
        mean(bytes_after.0 - bytes_before.0),
        mean(bytes_after.1 - bytes_before.1),
        cpu_us / CHANGE_COUNT as f64 / f64::from(size),
    )
}

/// The cost of voters while there are no changes.
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
        let mut sim = Sim::open(size, Encoding::Json, seed);
        let leader = sim.wait_for_leader();
        let bytes_before = sent_bytes(&sim, leader);
        let cpu_before = processor_time();
        sim.run(IDLE_TIME);
        let share = (processor_time() - cpu_before).as_secs_f64() / IDLE_TIME.as_secs_f64();
        let bytes_after = sent_bytes(&sim, leader);
        let rate = |total: u64| format!("{:.0}", total as f64 / IDLE_TIME.as_secs_f64());
        table.row([
            size.to_string(),
            rate(bytes_after.0 - bytes_before.0),
            rate(bytes_after.1 - bytes_before.1),
            format!("{:.4}", 100.0 * share / f64::from(size)),
        ]);
    }
    table
}

/// Bytes sent by the leader and, on average, by a follower.
fn sent_bytes(sim: &Sim, leader: NodeId) -> (u64, u64) {
    let others = sim.nodes.iter().filter(|(id, _)| **id != leader);
    let bytes: Vec<_> = others.map(|(_, node)| node.sent_bytes).collect();
    let mean = bytes.iter().sum::<u64>() / bytes.len().max(1) as u64;
    (sim.nodes[&leader].sent_bytes, mean)
}

/// The processor time that this thread has used so far.
fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}
