//! What one rule scored.

use crate::downtime::faults::LOAD_S;
use crate::downtime::faults::WIDTHS;
use crate::downtime::faults::target;

/// Sums over one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Score {
    /// Replica-seconds that were called for and not served.
    pub down: f64,
    /// Host-seconds of healthy hosts that unmet replicas needed and that did nothing.
    pub stranded: f64,
    /// Replicas that were loaded.
    pub loads: usize,
    /// Replicas that lost a host.
    pub broken: usize,
}

impl Score {
    /// The sum of two.
    pub fn add(self, other: Self) -> Self {
        Self {
            down: self.down + other.down,
            stranded: self.stranded + other.stranded,
            loads: self.loads + other.loads,
            broken: self.broken + other.broken,
        }
    }

    /// Counts one span: replicas that serve and that load by width, and idle healthy hosts.
    pub fn count(&mut self, serving: &[usize], loading: &[usize], idle: usize, span_s: f64) {
        let mut needed = 0;
        for (at, width) in WIDTHS.iter().enumerate() {
            let lacking = target(at).saturating_sub(serving[at]);
            self.down += lacking as f64 * span_s;
            needed += width * lacking.saturating_sub(loading[at]);
        }
        self.stranded += needed.min(idle) as f64 * span_s;
    }

    /// The downtime that remains if each broken replica only had to load.
    pub fn least_load(&self) -> Self {
        Self {
            down: self.broken as f64 * LOAD_S,
            stranded: 0.0,
            loads: self.broken,
            broken: self.broken,
        }
    }

    /// One row of the table.
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
