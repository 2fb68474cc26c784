//! What entry hosts report about limits.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::Incarnation;
use base::NodeId;
use base::RequestRate;
use base::UpstreamId;

/// What an entry host knows of a process's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum LimitChange {
    /// An answer named this limit.
    Named(RequestRate),
    /// An answer named no limit any more.
    Ended,
    /// The entry host knows this limit from others.
    Known(RequestRate),
}

/// A report of one entry host on the limit of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The entry host.
    pub from: NodeId,
    /// The process.
    pub process: UpstreamId,
    /// The incarnation of the process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// What the entry host knows of the limit.
    pub change: LimitChange,
    /// How long ago it learned this, in milliseconds.
    pub ms_ago: u64,
    /// How many requests a second it has for the process.
    pub wanted: RequestRate,
}

impl LimitReport {
    /// The report as it reads after another `span`.
    pub fn aged(mut self, span: Duration) -> Self {
        self.ms_ago += span.as_millis() as u64;
        self
    }
}
