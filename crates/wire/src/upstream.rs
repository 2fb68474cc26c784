//! Calls that hosts of model engines and plain services make to an entry node.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Call;
use base::HostReport;
use base::NodeId;
use base::ServiceReport;

/// How often an upstream announces itself.
pub const ANNOUNCE_EVERY: Duration = Duration::from_millis(500);

/// How long an announcement lives unless renewed.
pub const ANNOUNCEMENT_LIFE: Duration = Duration::from_millis(2_000);

/// A host of a model engine says what it is and does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnnounceHost {
    /// What it says.
    pub report: HostReport,
}

/// A plain service's process says what it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnnounceService {
    /// What it says.
    pub report: ServiceReport,
}

/// An announcement was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// The entry node that heard it.
    pub by: NodeId,
}

impl Call for AnnounceHost {
    const METHOD: &'static str = "announce_host";
    type Reply = Heard;
}

impl Call for AnnounceService {
    const METHOD: &'static str = "announce_service";
    type Reply = Heard;
}
