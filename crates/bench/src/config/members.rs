//! The exchange between entry nodes: time until a change is in force on all,
//! and the bytes, processor time and memory that it costs a node.
//!
//! All nodes are state machines in this process, on virtual time. Processor
//! time is that of the state machines with encoding and decoding, without
//! sockets and tags.

mod fleet;
mod mesh;
mod spent;

use std::time::Duration;

use self::fleet::Fleet;
use self::spent::Load;
use self::spent::Spent;
use crate::report::Table;

/// Data centres and nodes in each.
const SIZES: [(u32, u32); 4] = [(3, 3), (3, 10), (6, 15), (20, 17)];

/// Changes a day, at the target.
const CHANGES_A_DAY: f64 = 40_000.0;

/// Time between two polls of the naive way, and until one is answered.
const POLL_EVERY: Duration = Duration::from_secs(5);
const POLL_ANSWER: Duration = Duration::from_millis(35);

/// Time from the start of all nodes until the measure begins.
const WARM_UP: Duration = Duration::from_secs(15);

/// Budgets of a node at the target: bytes a second, bytes, share of a core.
const BUDGET_BYTES: f64 = 12_000.0;
const BUDGET_CORE: f64 = 0.033;

/// Times until in force, and costs.
pub fn tables(seed: u64) -> Vec<Table> {
    let mut tables = vec![in_force(seed)];
    tables.extend(cost_tables(seed));
    tables
}

/// Costs alone.
pub fn cost_tables(seed: u64) -> Vec<Table> {
    let spent = SIZES.map(|size| (size, Load::ALL.map(|load| spent(size, load, seed))));
    vec![costs(&spent), slopes(&spent)]
}

type Costs = [((u32, u32), [Spent; 2])];

fn in_force(seed: u64) -> Table {
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
    let steady = 86_400.0 / CHANGES_A_DAY;
    let loads = [
        ((3, 3), "40,000 a day", 600, steady),
        ((3, 3), "burst of 100", 100, 0.01),
        ((20, 17), "40,000 a day", 10, steady),
        ((20, 17), "burst of 100", 100, 0.01),
    ];
    for (size, load, count, pause_s) in loads {
        let changes = spaced(count, pause_s);
        table.row(in_force_row(load, size, seed, &changes));
        table.row(polled_row(load, size.0 * size.1, seed, &changes));
    }
    table
}

/// The naive way: each node asks one voter in turn, whether or not there is
/// something new.
fn polled_row(load: &str, nodes: u32, seed: u64, changes: &[Duration]) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let phases = (0..nodes).map(|_| POLL_EVERY.mul_f64(rng.f64()));
    let phases: Vec<Duration> = phases.collect();
    let wait = |phase: &Duration, change: &Duration| {
        let since = (change.as_micros() + POLL_EVERY.as_micros() - phase.as_micros())
            % POLL_EVERY.as_micros();
        POLL_EVERY - Duration::from_micros(since as u64) + POLL_ANSWER
    };
    let waits = changes.iter().map(|change| {
        let all = phases.iter().map(|phase| wait(phase, change));
        all.max().unwrap_or_default()
    });
    let first = changes.first().copied().unwrap_or_default();
    let last = changes.last().copied().unwrap_or_default();
    let polls = (last - first + POLL_EVERY).div_duration_f64(POLL_EVERY);
    let asks = f64::from(nodes) * polls / changes.len() as f64;
    let load = format!("{load}, polled");
    row_of(&load, nodes, changes.len(), waits.collect(), asks)
}

/// Times of changes after the warm-up, a mean pause apart.
fn spaced(count: u32, pause_s: f64) -> Vec<Duration> {
    let times = (0..count).map(|at| WARM_UP + Duration::from_secs_f64(f64::from(at) * pause_s));
    times.collect()
}

fn in_force_row(load: &str, size: (u32, u32), seed: u64, changes: &[Duration]) -> Vec<String> {
    let mut fleet = Fleet::open(size, Load::None, seed);
    for at in changes {
        fleet.change_at(*at);
    }
    let end = changes.last().copied().unwrap_or_default() + Duration::from_secs(5);
    fleet.run_until(end);
    let asks = f64::from(fleet.asks) / changes.len() as f64;
    let nodes = size.0 * size.1;
    row_of(load, nodes, changes.len(), fleet.waits(), asks)
}

fn row_of(
    load: &str,
    nodes: u32,
    changes: usize,
    mut waits: Vec<Duration>,
    asks: f64,
) -> Vec<String> {
    waits.sort_unstable();
    let at = |share: f64| {
        let place = (waits.len().saturating_sub(1) as f64 * share) as usize;
        let wait = waits.get(place);
        wait.map_or("-".to_owned(), |wait| wait.as_millis().to_string())
    };
    vec![
        load.to_owned(),
        nodes.to_string(),
        format!("{} of {changes}", waits.len()),
        at(0.5),
        at(0.99),
        at(1.0),
        format!("{asks:.1}"),
    ]
}

fn spent(size: (u32, u32), load: Load, seed: u64) -> Spent {
    let mut fleet = Fleet::open(size, load, seed);
    let span = Duration::from_secs(if size.0 < 20 { 60 } else { 12 });
    let changes = (span.as_secs_f64() * CHANGES_A_DAY / 86_400.0) as u32;
    for at in spaced(changes, 86_400.0 / CHANGES_A_DAY) {
        fleet.change_at(at);
    }
    fleet.run_until(WARM_UP);
    fleet.reset();
    fleet.run_until(WARM_UP + span);
    fleet.spent(span)
}

fn costs(spent: &Costs) -> Table {
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
    for ((centres, per_centre), by_load) in spent {
        let nodes = centres * per_centre;
        for (load, spent) in Load::ALL.iter().zip(by_load) {
            table.row(cost_row(nodes, load.name(), spent));
            table.row(cost_row(
                nodes,
                load.mesh_name(),
                &mesh::spent(nodes, *load),
            ));
        }
    }
    table
}

fn cost_row(nodes: u32, load: &str, spent: &Spent) -> Vec<String> {
    vec![
        nodes.to_string(),
        load.to_owned(),
        format!("{:.0}", spent.sent),
        format!("{:.0}", spent.received),
        format!("{:.0}", spent.sent + spent.received),
        format!("{:.0}", spent.both_max),
        format!("{:.0}", spent.datagrams),
        spent
            .in_time
            .map_or("-".to_owned(), |share| format!("{:.0}", share * 100.0)),
        format!("{:.3}", spent.core * 100.0),
        format!("{:.3}", spent.core_max * 100.0),
        format!("{:.0}", spent.memory / 1024.0),
    ]
}

/// Least-squares slopes over the number of nodes.
fn slopes(spent: &Costs) -> Table {
    let columns = [
        "load",
        "B/s a node",
        "core % a node",
        "state bytes a node",
        "of the budget at 340",
    ];
    let mut table = Table::new("slopes over 9, 30, 90 and 340 nodes", &columns);
    for (at, load) in Load::ALL.iter().enumerate() {
        let slope = |value: fn(&Spent) -> f64| {
            let points = spent.iter().map(|((centres, per_centre), by_load)| {
                (f64::from(centres * per_centre), value(&by_load[at]))
            });
            least_squares(&points.collect::<Vec<_>>())
        };
        let largest = spent
            .last()
            .map(|(_, by_load)| by_load[at])
            .unwrap_or_default();
        let bytes = (largest.sent + largest.received) / BUDGET_BYTES;
        let core = largest.core / BUDGET_CORE;
        table.row([
            load.name().to_owned(),
            format!("{:.1}", slope(|spent| spent.sent + spent.received)),
            format!("{:.5}", slope(|spent| spent.core * 100.0)),
            format!("{:.0}", slope(|spent| spent.memory)),
            format!(
                "{:.0} % of bytes, {:.0} % of core",
                bytes * 100.0,
                core * 100.0
            ),
        ]);
    }
    table
}

fn least_squares(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let shared: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    shared / spread.max(f64::MIN_POSITIVE)
}
