//! CPU time of the measured processes.

use std::fs;
use std::time::Duration;

use derive_more::Display;

use crate::path::setup::Path;

/// The kernel counts a process's CPU time in these.
const TICKS_PER_SECOND: f64 = 100.0;

/// CPU seconds of the node and of the engine.
#[derive(Clone, Copy, Debug, Default, Display)]
#[display("the node takes {node:.3} CPU seconds a second, the engine {engine:.3}")]
pub struct Cpu {
    node: f64,
    engine: f64,
}

impl Cpu {
    /// What both used so far.
    pub fn read(path: &Path) -> Self {
        Self {
            node: seconds(path.node_pid),
            engine: seconds(path.engine_pid),
        }
    }

    /// What was used since an earlier reading.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            node: self.node - earlier.node,
            engine: self.engine - earlier.engine,
        }
    }

    /// Seconds used in each second of a span.
    pub fn per_second(self, span: Duration) -> Self {
        self.times(1.0 / span.as_secs_f64())
    }

    /// What is left when the idle use over a span is taken off.
    pub fn less(self, idle: Self, span: Duration) -> Self {
        self.since(idle.times(span.as_secs_f64()))
    }

    /// The share of one request.
    pub fn per_request(self, requests: usize) -> Self {
        self.times(1.0 / requests.max(1) as f64)
    }

    /// The node's part in microseconds.
    pub fn node_micros(self) -> String {
        format!("{:.0}", self.node * 1e6)
    }

    /// The engine's part in microseconds.
    pub fn engine_micros(self) -> String {
        format!("{:.0}", self.engine * 1e6)
    }

    fn times(self, by: f64) -> Self {
        Self {
            node: self.node * by,
            engine: self.engine * by,
        }
    }
}

/// How busy the machine is.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(3).collect::<Vec<_>>().join(" ")
}

/// User and system time of a process.
fn seconds(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name before the last bracket may hold spaces.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |at: usize| -> f64 { fields.get(at).and_then(|t| t.parse().ok()).unwrap_or(0.0) };
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}
