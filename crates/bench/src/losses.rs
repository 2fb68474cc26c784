//! Where requests are lost on a deployment: reads the logs of its processes and counts, by
//! route and over time, what became of the requests that entry hosts took.
//!
//! A caller that returns after a refusal is counted as a new request, because entry hosts
//! can't tell. What a failure of an upstream hit is counted apart from what only waited: the
//! former is late under any policy, and the rest bounds what a policy can gain.

mod line;
mod tally;

use std::path::Path;

use crate::losses::line::LogLine;
use crate::losses::tally::Outcome;
use crate::losses::tally::Tally;
use crate::report::Report;
use crate::report::Table;

/// Length of the time steps of the table over time, in seconds.
const STEP_SECS: f64 = 2.0;

/// Reads the logs of a deployment, all its processes' lines in one file.
pub fn read(file: &Path) -> std::io::Result<Report> {
    let text = std::fs::read_to_string(file)?;
    let mut tally = Tally::default();
    for line in text.lines().filter_map(LogLine::parse) {
        tally.record(&line, STEP_SECS);
    }
    Ok(Report::new("losses", 0)
        .table(by_route(&tally))
        .table(over_time(&tally))
        .note("bound: the share that would be on time if only failures of upstreams made answers late"))
}

fn by_route(tally: &Tally) -> Table {
    let mut columns = vec!["route", "requests"];
    columns.extend(Outcome::ALL.map(Outcome::text));
    columns.push("bound %");
    let mut table = Table::new("what became of the requests of each route", &columns);
    for (route, counts) in &tally.by_route {
        let mut row = vec![route.clone(), counts.total().to_string()];
        row.extend(Outcome::ALL.map(|outcome| counts.of(outcome).to_string()));
        row.push(format!("{:.1}", 100.0 * counts.bound()));
        table.rows.push(row);
    }
    table
}

fn over_time(tally: &Tally) -> Table {
    let mut columns = vec!["from s", "serving replicas", "hosts", "free hosts"];
    columns.extend(Outcome::ALL.map(Outcome::text));
    let mut table = Table::new("what became of the requests over time", &columns);
    for (step, counts) in &tally.over_time {
        let shape = tally.shape_at(*step);
        let mut row = vec![
            format!("{:.0}", *step as f64 * STEP_SECS),
            shape.serving.to_string(),
            shape.hosts.to_string(),
            shape.free.to_string(),
        ];
        row.extend(Outcome::ALL.map(|outcome| counts.of(outcome).to_string()));
        table.rows.push(row);
    }
    table
}
