//! Counts of what became of requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::losses::line::LogLine;

/// Stands for the route of requests that were broken off or left, which the log doesn't name.
const UNKNOWN_ROUTE: &str = "-";

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Answered within its targets.
    OnTime,
    /// Late, and an upstream failed it on the way.
    LateAfterFailure,
    /// Its first event, or its whole answer, came late without a failure: it waited.
    LateStart,
    /// A pause between two events was too long, without a failure that was noticed.
    LongGap,
    /// An upstream answered with an error.
    UpstreamError,
    /// Refused because all replicas were full.
    RefusedFull,
    /// Refused for another reason.
    RefusedElse,
    /// It may have run, and its answer was lost or broken off.
    Lost,
    /// The caller left before the end.
    CallerLeft,
}

impl Outcome {
    pub const ALL: [Self; 9] = [
        Self::OnTime,
        Self::LateAfterFailure,
        Self::LateStart,
        Self::LongGap,
        Self::UpstreamError,
        Self::RefusedFull,
        Self::RefusedElse,
        Self::Lost,
        Self::CallerLeft,
    ];

    /// The heading of its column.
    pub fn text(self) -> &'static str {
        match self {
            Self::OnTime => "on time",
            Self::LateAfterFailure => "late, failed once",
            Self::LateStart => "late start",
            Self::LongGap => "long gap",
            Self::UpstreamError => "upstream error",
            Self::RefusedFull => "refused, full",
            Self::RefusedElse => "refused, else",
            Self::Lost => "lost",
            Self::CallerLeft => "caller left",
        }
    }

    /// Whether a failure of an upstream caused it, so that no decision could prevent it.
    fn is_failure(self) -> bool {
        matches!(
            self,
            Self::LateAfterFailure | Self::UpstreamError | Self::Lost
        )
    }
}

/// How many requests had which outcome.
#[derive(Clone, Debug, Default)]
pub struct Counts(BTreeMap<Outcome, usize>);

impl Counts {
    pub fn of(&self, outcome: Outcome) -> usize {
        self.0.get(&outcome).copied().unwrap_or(0)
    }

    pub fn total(&self) -> usize {
        self.0.values().sum()
    }

    /// The share that would be on time if only failures of upstreams made answers late.
    pub fn bound(&self) -> f64 {
        let failed = self.0.iter().filter(|(outcome, _)| outcome.is_failure());
        let failed: usize = failed.map(|(_, count)| count).sum();
        1.0 - failed as f64 / self.total().max(1) as f64
    }

    fn add(&mut self, outcome: Outcome) {
        *self.0.entry(outcome).or_default() += 1;
    }
}

/// The hosts and replicas of a routing table.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shape {
    pub serving: usize,
    pub hosts: usize,
    pub free: usize,
}

/// Everything that was counted.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub by_route: BTreeMap<String, Counts>,
    /// By time step, counted from the zero of the log's times.
    pub over_time: BTreeMap<i64, Counts>,
    shapes: BTreeMap<i64, Shape>,
    /// Requests that an upstream failed, until their end.
    failed_ids: BTreeSet<String>,
}

impl Tally {
    /// Counts one line.
    pub fn record(&mut self, line: &LogLine<'_>, step_secs: f64) {
        let step = (line.at / step_secs).floor() as i64;
        if line.number == 2401 {
            self.record_shape(line, step);
            return;
        }
        let Some(id) = line.field("id") else {
            return;
        };
        let outcome = match line.number {
            2502 | 2503 => {
                self.failed_ids.insert(id.to_owned());
                return;
            }
            2500 => self.answered(line, id),
            2501 => refused(line),
            2504 => Some(Outcome::Lost),
            2505 => Some(Outcome::CallerLeft),
            _ => None,
        };
        let Some(outcome) = outcome else {
            return;
        };
        let route = line.field("route").unwrap_or(UNKNOWN_ROUTE);
        self.by_route
            .entry(route.to_owned())
            .or_default()
            .add(outcome);
        self.over_time.entry(step).or_default().add(outcome);
    }

    /// The last shape that was published up to the end of a time step.
    pub fn shape_at(&self, step: i64) -> Shape {
        let known = self.shapes.range(..=step).next_back();
        known.map(|(_, shape)| *shape).unwrap_or_default()
    }

    fn record_shape(&mut self, line: &LogLine<'_>, step: i64) {
        let count = |name| line.number_of(name).unwrap_or(0);
        let shape = Shape {
            serving: count("serving"),
            hosts: count("hosts"),
            free: count("free"),
        };
        self.shapes.insert(step, shape);
    }

    fn answered(&mut self, line: &LogLine<'_>, id: &str) -> Option<Outcome> {
        let was_failed = self.failed_ids.remove(id);
        let status: u16 = line.number_of("status")?;
        Some(match line.field("late")? {
            _ if 500 <= status => Outcome::UpstreamError,
            "no" => Outcome::OnTime,
            _ if was_failed => Outcome::LateAfterFailure,
            "start" => Outcome::LateStart,
            _ => Outcome::LongGap,
        })
    }
}

/// The outcome of a refusal. None if the request itself was wrong.
fn refused(line: &LogLine<'_>) -> Option<Outcome> {
    match line.number_of::<u16>("status")? {
        502 | 504 => Some(Outcome::Lost),
        503 if line.field("why") == Some("all upstreams are full") => Some(Outcome::RefusedFull),
        503 | 429 | 408 => Some(Outcome::RefusedElse),
        _ => None,
    }
}
