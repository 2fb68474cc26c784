//! Calls that hosts of model engines and plain services make to an entry node.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Call;
use crate::CompactLoad;
use base::HostId;
use base::HostReport;
use base::NodeId;
use base::ServiceReport;

/// How often an upstream announces itself.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long a host's announcement lives unless updated.
pub const HOST_ANNOUNCEMENT_TTL: Duration = Duration::from_millis(5_000);

/// How long a service's announcement lives unless updated.
pub const SERVICE_ANNOUNCEMENT_TTL: Duration = Duration::from_millis(6_000);

/// A host of a model engine says what it is and does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnnounceHost {
    /// What it says.
    pub report: HostReport,
}

/// Where a host sends its beats: one long request whose body is a line for each beat,
/// answered by a line for each.
pub const HEARTBEATS_PATH: &str = "/beats";

/// The answer to a beat that was heard.
pub const HEARTBEAT_ACCEPTED: &str = "heard";

/// The answer to a beat of a host whose whole report is needed first. The last one.
pub const HEARTBEAT_UNKNOWN: &str = "unknown";

/// What changes all the time about a host. It travels without its fields' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "BeatFields", into = "BeatFields")]
pub struct HostHeartbeat {
    /// The host.
    pub host: HostId,
    /// The lower half of its incarnation.
    pub incarnation_bits: u32,
    /// The report's sequence.
    pub sequence: u64,
    /// Its load.
    pub load: CompactLoad,
}

type BeatFields = (HostId, u32, u64, CompactLoad);

impl From<BeatFields> for HostHeartbeat {
    fn from((host, incarnation_bits, sequence, load): BeatFields) -> Self {
        Self {
            host,
            incarnation_bits,
            sequence,
            load,
        }
    }
}

impl From<HostHeartbeat> for BeatFields {
    fn from(heartbeat: HostHeartbeat) -> Self {
        (
            heartbeat.host,
            heartbeat.incarnation_bits,
            heartbeat.sequence,
            heartbeat.load,
        )
    }
}

impl HostHeartbeat {
    /// The beat that stands for a report whose rest is known.
    pub fn from_report(report: &HostReport) -> Self {
        Self {
            host: report.host,
            incarnation_bits: Self::incarnation_bits_of(report),
            sequence: report.sequence,
            load: CompactLoad::from(&report.load),
        }
    }

    /// What a beat says of a host's life.
    pub fn incarnation_bits_of(report: &HostReport) -> u32 {
        report.incarnation.0 as u32
    }

    /// Whether a beat tells all that is new in a report to one who knows an earlier one.
    pub fn covers_update(known: &HostReport, report: &HostReport) -> bool {
        let mut updated = known.clone();
        updated.sequence = report.sequence;
        updated.load = report.load.clone();
        updated == *report
    }

    /// Brings a known report up to date. False if the beat is of another life, or old.
    pub fn apply_to(&self, report: &mut HostReport) -> bool {
        let same_incarnation = Self::incarnation_bits_of(report) == self.incarnation_bits;
        if report.host != self.host || !same_incarnation || self.sequence <= report.sequence {
            return false;
        }
        report.sequence = self.sequence;
        report.load = self.load.into();
        true
    }
}

/// A plain service's process says what it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnnounceService {
    /// What it says.
    pub report: ServiceReport,
}

/// An announcement was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementAck {
    /// The entry node that heard it.
    pub by: NodeId,
}

impl Call for AnnounceHost {
    const METHOD: &'static str = "announce_host";
    type Reply = AnnouncementAck;
}

impl Call for AnnounceService {
    const METHOD: &'static str = "announce_service";
    type Reply = AnnouncementAck;
}
