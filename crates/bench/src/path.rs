//! The latency and processor time that an entry node adds to a direct call of an engine.

mod cpu;
mod load;
mod setup;

use std::time::Duration;

use crate::path::cpu::Cpu;
use crate::path::load::Outcome;
use crate::path::setup::Testbed;
use crate::report::Report;
use crate::report::Table;

/// The phases: requests a second, and for how long.
const PHASES: [(u32, Duration); 3] = [
    (1, Duration::from_secs(10)),
    (100, Duration::from_secs(5)),
    (1_000, Duration::from_secs(5)),
];

/// How long the processor time without requests is measured.
const IDLE_TIME: Duration = Duration::from_secs(3);

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
    match Testbed::open() {
        Ok(testbed) => measure(&testbed, seed, report),
        Err(reason) => report.note(format!("not measured: {reason}")),
    }
}

fn measure(testbed: &Testbed, seed: u64, report: Report) -> Report {
    let before = Cpu::read(testbed);
    std::thread::sleep(IDLE_TIME);
    let idle = Cpu::read(testbed).since(before).per_second(IDLE_TIME);
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
    for (rate, duration) in PHASES {
        let direct = run_phase(testbed, &testbed.direct(), rate, duration, seed);
        let entry = run_phase(testbed, &testbed.entry(), rate, duration, seed);
        table.row(direct.row(rate, "direct", idle));
        table.row(entry.row(rate, "node", idle));
        added.row(entry.added_row(&direct, rate));
        for (route, phase) in [("direct", &direct), ("node", &entry)] {
            if let Some(schedule_note) = phase.outcome.behind_schedule(duration) {
                report = report.note(format!("{rate}/s {route}: {schedule_note}"));
            }
        }
    }
    report
        .table(table)
        .table(added)
        .note(format!("load average at the end: {}", cpu::load_average()))
}

/// The results of one phase on one route: direct, or through the node.
struct Phase {
    outcome: Outcome,
    cpu_used: Cpu,
    duration: Duration,
}

fn run_phase(
    testbed: &Testbed,
    caller: &harness::Caller,
    rate: u32,
    duration: Duration,
    seed: u64,
) -> Phase {
    let before = Cpu::read(testbed);
    let start = std::time::Instant::now();
    let outcome = load::run(caller, rate, duration, seed);
    Phase {
        outcome,
        cpu_used: Cpu::read(testbed).since(before),
        duration: start.elapsed(),
    }
}

impl Phase {
    fn row(&self, rate: u32, route: &str, idle: Cpu) -> Vec<String> {
        let outcome = &self.outcome;
        let cpu_net = self
            .cpu_used
            .minus_idle(idle, self.duration)
            .per_request(outcome.sent);
        vec![
            rate.to_string(),
            route.to_owned(),
            outcome.sent.to_string(),
            outcome.answered.to_string(),
            outcome.refused.to_string(),
            outcome.failed.to_string(),
            millis(outcome.first_token_time(0.5)),
            millis(outcome.first_token_time(0.99)),
            millis(outcome.token_gap(0.5)),
            millis(outcome.token_gap(0.99)),
            millis(outcome.send_delay(0.99)),
            cpu_net.node_micros(),
            cpu_net.engine_micros(),
        ]
    }

    fn added_row(&self, direct: &Self, rate: u32) -> Vec<String> {
        let (via_node, direct) = (&self.outcome, &direct.outcome);
        vec![
            rate.to_string(),
            millis(via_node.first_token_time(0.5) - direct.first_token_time(0.5)),
            millis(via_node.first_token_time(0.99) - direct.first_token_time(0.99)),
            millis(via_node.token_gap(0.5) - direct.token_gap(0.5)),
            millis(via_node.token_gap(0.99) - direct.token_gap(0.99)),
        ]
    }
}

/// Formats a time in seconds as milliseconds.
fn millis(seconds: f64) -> String {
    format!("{:.2}", seconds * 1e3)
}
