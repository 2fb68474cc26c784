//! Downtime of replicas and unused healthy hosts under faults.
//!
//! Three data centres of the present size have the same faults under four rules: the design, static
//! groups, first fit, and an upper bound. The bound is the best assignment at each moment if
//! detecting a fault and loading a replica took no time.

mod bound;
mod design;
mod faults;
mod naive;
mod planning;
mod score;

use std::time::Duration;

use crate::downtime::faults::Schedule;
use crate::downtime::naive::Rule;
use crate::downtime::score::Score;
use crate::report::Report;
use crate::report::Table;

/// The number of data centres at the present size.
const CENTRES: u64 = 3;

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    let schedules: Vec<_> = (0..CENTRES)
        .map(|centre| Schedule::open(seed, centre))
        .collect();
    let events: usize = schedules.iter().map(|s| s.outages.len()).sum();
    Report::new("downtime", seed)
        .table(rules_table(&schedules))
        .table(takeover_table())
        .table(planning::table(seed))
        .table(planning::controller_table())
        .note(format!(
            "{events} outages of single hosts, and one dark domain in one data centre"
        ))
        .note("stranded: healthy hosts that neither serve nor load, at most as many as unmet replicas need")
        .note("bound: best assignment at each moment if detecting and loading took no time")
        .note("least load: broken groups of this design times one load, all of it downtime no repair avoids")
}

fn rules_table(schedules: &[Schedule]) -> Table {
    let mut table = Table::new(
        "groups of 3 data centres over 4 hours",
        &[
            "rule",
            "down replica-s",
            "stranded host-s",
            "loads",
            "broken",
        ],
    );
    let design = total(schedules, design::run);
    let rules = [
        ("this design", design),
        (
            "static groups",
            total(schedules, |s| naive::run(s, Rule::Static)),
        ),
        (
            "first fit",
            total(schedules, |s| naive::run(s, Rule::FirstFit)),
        ),
        ("bound", total(schedules, bound::run)),
        ("least load", design.least_load()),
    ];
    for (name, score) in rules {
        table.row(score.cells(name));
    }
    table
}

fn takeover_table() -> Table {
    let mut table = Table::new(
        "a controller dies and its successor starts 7.5 s later, 20 replicas",
        &["entry nodes", "unrouted replica-s", "orders after s"],
    );
    let labels = [
        "route on grants alone",
        "hold routes 8 s on hosts' own word",
    ];
    for (name, hold_limit) in labels
        .into_iter()
        .zip([Duration::ZERO, Duration::from_secs(8)])
    {
        let (score, order_delay) = design::takeover(hold_limit);
        table.row([
            name.to_owned(),
            format!("{:.1}", score.down),
            format!("{:.1}", order_delay.as_secs_f64()),
        ]);
    }
    table
}

fn total(schedules: &[Schedule], run: impl Fn(&Schedule) -> Score) -> Score {
    schedules.iter().map(run).fold(Score::default(), Score::add)
}
