//! The score of a rule.

use crate::downtime::faults::LOAD_SECONDS;
use crate::downtime::faults::WIDTHS;
use crate::downtime::faults::target_replicas;

/// The sums of the results of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Score {
    /// Replica-seconds that the targets ask for and that were not served.
    pub down: f64,
    /// Host-seconds of healthy idle hosts, at most as many hosts as missing replicas need.
    pub stranded: f64,
    /// How many times a replica was loaded.
    pub loads: usize,
    /// The number of replicas that lost a host.
    pub broken: usize,
}

impl Score {
    /// The sum of two scores.
    pub fn add(self, other: Self) -> Self {
        Self {
            down: self.down + other.down,
            stranded: self.stranded + other.stranded,
            loads: self.loads + other.loads,
            broken: self.broken + other.broken,
        }
    }

    /// Adds a span of `span_s` seconds. `serving` and `loading` are numbers of replicas by width,
    /// `idle` is the number of unused healthy hosts.
    pub fn add_span(&mut self, serving: &[usize], loading: &[usize], idle: usize, span_s: f64) {
        let mut missing_hosts = 0;
        for (width_index, width) in WIDTHS.iter().enumerate() {
            let missing = target_replicas(width_index).saturating_sub(serving[width_index]);
            self.down += missing as f64 * span_s;
            missing_hosts += width * missing.saturating_sub(loading[width_index]);
        }
        self.stranded += missing_hosts.min(idle) as f64 * span_s;
    }

    /// The score with the least possible downtime: each replica that lost a host loads once.
    pub fn least_load(&self) -> Self {
        Self {
            down: self.broken as f64 * LOAD_SECONDS,
            stranded: 0.0,
            loads: self.broken,
            broken: self.broken,
        }
    }

    /// The cells of one row of the table.
    pub fn cells(&self, name: &str) -> Vec<String> {
        vec![
            name.to_owned(),
            format!("{:.0}", self.down),
            format!("{:.0}", self.stranded),
            self.loads.to_string(),
            self.broken.to_string(),
        ]
    }
}
