//! The membership exchange between entry nodes: the time until a change is in force on all of
//! them, and the bytes, processor time and memory that the exchange costs a node.
//!
//! All nodes are state machines in this process, on virtual time. The processor time is that
//! of the state machines with encoding and decoding, without sockets and authentication tags.

mod exchange_cost;
mod fleet;
mod mesh;

use std::time::Duration;

use self::exchange_cost::ExchangeCost;
use self::exchange_cost::Workload;
use self::fleet::Fleet;
use crate::report::Table;

/// The cluster sizes that are measured: data centres, and nodes in each.
const SIZES: [(u32, u32); 4] = [(3, 3), (3, 10), (6, 15), (20, 17)];

/// Configuration changes a day at the target size.
const CHANGES_PER_DAY: f64 = 40_000.0;

/// For the comparison with polling: the time between two polls by one node, and the time from a
/// poll to its answer.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
const POLL_ROUND_TRIP: Duration = Duration::from_millis(35);

/// Time from the start of all nodes until measuring begins.
const WARM_UP: Duration = Duration::from_secs(15);

/// The budget of a node at the target size: bytes a second both ways, and share of a core.
const BUDGET_BYTES_PER_SECOND: f64 = 12_000.0;
const BUDGET_CORE_SHARE: f64 = 0.033;

/// Tables of the times until changes are in force, and of the costs.
pub fn tables(seed: u64) -> Vec<Table> {
    let mut tables = vec![propagation_table(seed)];
    tables.extend(cost_tables(seed));
    tables
}

/// Tables of the costs only.
pub fn cost_tables(seed: u64) -> Vec<Table> {
    let costs = SIZES.map(|size| {
        (
            size,
            Workload::ALL.map(|workload| measure_cost(size, workload, seed)),
        )
    });
    vec![cost_table(&costs), slope_table(&costs)]
}

/// The costs for each cluster size and each workload.
type CostsBySize = [((u32, u32), [ExchangeCost; 2])];

fn propagation_table(seed: u64) -> Table {
    let columns = [
        "load",
        "nodes",
        "changes",
        "p50 ms",
        "p99 ms",
        "max ms",
        "asks a change",
    ];
    let mut table = Table::new(
        "time until in force on the last node, target 6,000 ms",
        &columns,
    );
    let steady_interval_s = 86_400.0 / CHANGES_PER_DAY;
    let loads = [
        ((3, 3), "40,000 a day", 600, steady_interval_s),
        ((3, 3), "burst of 100", 100, 0.01),
        ((20, 17), "40,000 a day", 10, steady_interval_s),
        ((20, 17), "burst of 100", 100, 0.01),
    ];
    for (size, load, count, interval_s) in loads {
        let changes = change_times(count, interval_s);
        table.row(propagation_row(load, size, seed, &changes));
        table.row(polling_row(load, size.0 * size.1, seed, &changes));
    }
    table
}

/// The row for polling, the simple alternative: each node polls one voter after the other at an
/// interval, whether or not there is a new version.
fn polling_row(load: &str, nodes: u32, seed: u64, changes: &[Duration]) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let phases = (0..nodes).map(|_| POLL_INTERVAL.mul_f64(rng.f64()));
    let phases: Vec<Duration> = phases.collect();
    let wait = |phase: &Duration, change: &Duration| {
        let elapsed_us = (change.as_micros() + POLL_INTERVAL.as_micros() - phase.as_micros())
            % POLL_INTERVAL.as_micros();
        POLL_INTERVAL - Duration::from_micros(elapsed_us as u64) + POLL_ROUND_TRIP
    };
    let times = changes.iter().map(|change| {
        let all = phases.iter().map(|phase| wait(phase, change));
        all.max().unwrap_or_default()
    });
    let first = changes.first().copied().unwrap_or_default();
    let last = changes.last().copied().unwrap_or_default();
    let polls = (last - first + POLL_INTERVAL).div_duration_f64(POLL_INTERVAL);
    let pulls_per_change = f64::from(nodes) * polls / changes.len() as f64;
    let load = format!("{load}, polled");
    row_cells(
        &load,
        nodes,
        changes.len(),
        times.collect(),
        pulls_per_change,
    )
}

/// The times of changes after the warm-up, at a fixed interval.
fn change_times(count: u32, interval_s: f64) -> Vec<Duration> {
    let times =
        (0..count).map(|index| WARM_UP + Duration::from_secs_f64(f64::from(index) * interval_s));
    times.collect()
}

fn propagation_row(load: &str, size: (u32, u32), seed: u64, changes: &[Duration]) -> Vec<String> {
    let mut fleet = Fleet::open(size, Workload::None, seed);
    for at in changes {
        fleet.change_at(*at);
    }
    let end = changes.last().copied().unwrap_or_default() + Duration::from_secs(5);
    fleet.run_until(end);
    let pulls_per_change = f64::from(fleet.pulls) / changes.len() as f64;
    let nodes = size.0 * size.1;
    row_cells(
        load,
        nodes,
        changes.len(),
        fleet.propagation_times(),
        pulls_per_change,
    )
}

fn row_cells(
    load: &str,
    nodes: u32,
    changes: usize,
    mut times: Vec<Duration>,
    pulls_per_change: f64,
) -> Vec<String> {
    times.sort_unstable();
    let percentile = |share: f64| {
        let index = (times.len().saturating_sub(1) as f64 * share) as usize;
        let time = times.get(index);
        time.map_or("-".to_owned(), |time| time.as_millis().to_string())
    };
    vec![
        load.to_owned(),
        nodes.to_string(),
        format!("{} of {changes}", times.len()),
        percentile(0.5),
        percentile(0.99),
        percentile(1.0),
        format!("{pulls_per_change:.1}"),
    ]
}

fn measure_cost(size: (u32, u32), workload: Workload, seed: u64) -> ExchangeCost {
    let mut fleet = Fleet::open(size, workload, seed);
    let span = Duration::from_secs(if size.0 < 20 { 60 } else { 12 });
    let changes = (span.as_secs_f64() * CHANGES_PER_DAY / 86_400.0) as u32;
    for at in change_times(changes, 86_400.0 / CHANGES_PER_DAY) {
        fleet.change_at(at);
    }
    fleet.run_until(WARM_UP);
    fleet.reset_counters();
    fleet.run_until(WARM_UP + span);
    fleet.cost(span)
}

fn cost_table(costs: &CostsBySize) -> Table {
    let columns = [
        "nodes",
        "load",
        "sent B/s",
        "received B/s",
        "both B/s",
        "both max B/s",
        "datagrams/s",
        "reports in time %",
        "core %",
        "core max %",
        "state KiB",
    ];
    let title = "cost of the exchange a node, 40,000 changes a day, \
                 budget 12,000 B/s both ways and 3.3 % of a core";
    let mut table = Table::new(title, &columns);
    for ((centres, per_centre), by_workload) in costs {
        let nodes = centres * per_centre;
        for (workload, cost) in Workload::ALL.iter().zip(by_workload) {
            table.row(cost_row(nodes, workload.name(), cost));
            table.row(cost_row(
                nodes,
                workload.mesh_name(),
                &mesh::cost(nodes, *workload),
            ));
        }
    }
    table
}

fn cost_row(nodes: u32, load: &str, cost: &ExchangeCost) -> Vec<String> {
    vec![
        nodes.to_string(),
        load.to_owned(),
        format!("{:.0}", cost.sent),
        format!("{:.0}", cost.received),
        format!("{:.0}", cost.sent + cost.received),
        format!("{:.0}", cost.both_ways_max),
        format!("{:.0}", cost.datagrams),
        cost.in_time
            .map_or("-".to_owned(), |share| format!("{:.0}", share * 100.0)),
        format!("{:.3}", cost.core_share * 100.0),
        format!("{:.3}", cost.core_share_max * 100.0),
        format!("{:.0}", cost.memory / 1024.0),
    ]
}

/// The slopes of the costs over the number of nodes, by least squares.
fn slope_table(costs: &CostsBySize) -> Table {
    let columns = [
        "load",
        "B/s a node",
        "core % a node",
        "state bytes a node",
        "of the budget at 340",
    ];
    let mut table = Table::new("slopes over 9, 30, 90 and 340 nodes", &columns);
    for (index, workload) in Workload::ALL.iter().enumerate() {
        let slope = |value: fn(&ExchangeCost) -> f64| {
            let points = costs.iter().map(|((centres, per_centre), by_workload)| {
                (f64::from(centres * per_centre), value(&by_workload[index]))
            });
            least_squares(&points.collect::<Vec<_>>())
        };
        let largest = costs
            .last()
            .map(|(_, by_workload)| by_workload[index])
            .unwrap_or_default();
        let bytes = (largest.sent + largest.received) / BUDGET_BYTES_PER_SECOND;
        let core_share = largest.core_share / BUDGET_CORE_SHARE;
        table.row([
            workload.name().to_owned(),
            format!("{:.1}", slope(|cost| cost.sent + cost.received)),
            format!("{:.5}", slope(|cost| cost.core_share * 100.0)),
            format!("{:.0}", slope(|cost| cost.memory)),
            format!(
                "{:.0} % of bytes, {:.0} % of core",
                bytes * 100.0,
                core_share * 100.0
            ),
        ]);
    }
    table
}

fn least_squares(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_xy: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    sum_xy / sum_xx.max(f64::MIN_POSITIVE)
}
