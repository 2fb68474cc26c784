//! What the path through an entry node adds to a direct call.

mod cpu;
mod load;
mod setup;

use std::time::Duration;

use crate::path::cpu::Cpu;
use crate::path::load::Outcome;
use crate::path::setup::Path;
use crate::report::Report;
use crate::report::Table;

/// Requests a second, and for how long.
const PHASES: [(u32, Duration); 3] = [
    (1, Duration::from_secs(10)),
    (100, Duration::from_secs(5)),
    (1_000, Duration::from_secs(5)),
];

/// How long the processes are watched without any request.
const IDLE: Duration = Duration::from_secs(3);

const COLUMNS: [&str; 13] = [
    "requests/s",
    "way",
    "sent",
    "whole",
    "refused",
    "broken",
    "first p50 ms",
    "first p99 ms",
    "between p50 ms",
    "between p99 ms",
    "sent late p99 ms",
    "node CPU us/request",
    "engine CPU us/request",
];

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    let report = Report::new("path", seed);
    match Path::open() {
        Ok(path) => measure(&path, seed, report),
        Err(why) => report.note(format!("not measured: {why}")),
    }
}

fn measure(path: &Path, seed: u64, report: Report) -> Report {
    let before = Cpu::read(path);
    std::thread::sleep(IDLE);
    let idle = Cpu::read(path).since(before).per_second(IDLE);
    let mut table = Table::new("one node, one engine, answers of 4 tokens", &COLUMNS);
    let mut added = Table::new(
        "added by the node",
        &[
            "requests/s",
            "first p50 ms",
            "first p99 ms",
            "between p50 ms",
            "between p99 ms",
        ],
    );
    let mut report = report
        .note(format!("idle: {idle}"))
        .note("first: from opening a connection to the first token; between: from one token to the next; CPU: user and system time of the process over the phase, less what it takes idle")
        .note("every request has a connection of its own; those of one way come by a seeded Poisson process from four threads of the bench, which shares the machine with the processes; sent late: how far the generator was behind its schedule");
    for (rate, span) in PHASES {
        let direct = phase(path, &path.direct(), rate, span, seed);
        let entry = phase(path, &path.entry(), rate, span, seed);
        table.row(direct.row(rate, "direct", idle));
        table.row(entry.row(rate, "node", idle));
        added.row(entry.added_to(&direct, rate));
        for (way, phase) in [("direct", &direct), ("node", &entry)] {
            if let Some(behind) = phase.outcome.behind(span) {
                report = report.note(format!("{rate}/s {way}: {behind}"));
            }
        }
    }
    report
        .table(table)
        .table(added)
        .note(format!("load average at the end: {}", cpu::load_average()))
}

/// What one phase gave.
struct Phase {
    outcome: Outcome,
    used: Cpu,
    span: Duration,
}

fn phase(path: &Path, way: &harness::Caller, rate: u32, span: Duration, seed: u64) -> Phase {
    let before = Cpu::read(path);
    let start = std::time::Instant::now();
    let outcome = load::run(way, rate, span, seed);
    Phase {
        outcome,
        used: Cpu::read(path).since(before),
        span: start.elapsed(),
    }
}

impl Phase {
    fn row(&self, rate: u32, way: &str, idle: Cpu) -> Vec<String> {
        let out = &self.outcome;
        let net = self.used.less(idle, self.span).per_request(out.sent);
        vec![
            rate.to_string(),
            way.to_owned(),
            out.sent.to_string(),
            out.whole.to_string(),
            out.refused.to_string(),
            out.broken.to_string(),
            millis(out.first(0.5)),
            millis(out.first(0.99)),
            millis(out.between(0.5)),
            millis(out.between(0.99)),
            millis(out.late(0.99)),
            net.node_micros(),
            net.engine_micros(),
        ]
    }

    fn added_to(&self, direct: &Self, rate: u32) -> Vec<String> {
        let (own, other) = (&self.outcome, &direct.outcome);
        vec![
            rate.to_string(),
            millis(own.first(0.5) - other.first(0.5)),
            millis(own.first(0.99) - other.first(0.99)),
            millis(own.between(0.5) - other.between(0.5)),
            millis(own.between(0.99) - other.between(0.99)),
        ]
    }
}

/// A time in seconds, in milliseconds.
fn millis(seconds: f64) -> String {
    format!("{:.2}", seconds * 1e3)
}
