//! The CPU time of the measured processes.

use std::fs;
use std::time::Duration;

use derive_more::Display;

use crate::path::setup::Testbed;

/// Clock ticks a second, the unit of CPU time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The CPU seconds of the node and of the engine.
#[derive(Clone, Copy, Debug, Default, Display)]
#[display("the node takes {node:.3} CPU seconds a second, the engine {engine:.3}")]
pub struct Cpu {
    node: f64,
    engine: f64,
}

impl Cpu {
    /// Reads what both processes have used so far.
    pub fn read(testbed: &Testbed) -> Self {
        Self {
            node: cpu_seconds(testbed.node_pid),
            engine: cpu_seconds(testbed.engine_pid),
        }
    }

    /// The difference to an earlier reading.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            node: self.node - earlier.node,
            engine: self.engine - earlier.engine,
        }
    }

    /// The seconds used in each second of a span.
    pub fn per_second(self, span: Duration) -> Self {
        self.scaled_by(1.0 / span.as_secs_f64())
    }

    /// Subtracts what the idle processes would have used over a span.
    pub fn minus_idle(self, idle: Self, span: Duration) -> Self {
        self.since(idle.scaled_by(span.as_secs_f64()))
    }

    /// The mean for one request.
    pub fn per_request(self, requests: usize) -> Self {
        self.scaled_by(1.0 / requests.max(1) as f64)
    }

    /// The node's CPU time in microseconds.
    pub fn node_micros(self) -> String {
        format!("{:.0}", self.node * 1e6)
    }

    /// The engine's CPU time in microseconds.
    pub fn engine_micros(self) -> String {
        format!("{:.0}", self.engine * 1e6)
    }

    fn scaled_by(self, factor: f64) -> Self {
        Self {
            node: self.node * factor,
            engine: self.engine * factor,
        }
    }
}

/// The load averages of the machine over 1, 5 and 15 minutes.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(3).collect::<Vec<_>>().join(" ")
}

/// The user and system time of a process, in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The fields follow the last bracket, because the process name may contain spaces.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> f64 {
        fields
            .get(index)
            .and_then(|ticks| ticks.parse().ok())
            .unwrap_or(0.0)
    };
    // After the bracket, fields 11 and 12 are the user time and the system time.
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}
