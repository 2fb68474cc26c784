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

/// How long a host's announcement is valid if it is not renewed.
pub const HOST_ANNOUNCEMENT_TTL: Duration = Duration::from_millis(5_000);

/// How long a service's announcement is valid if it is not renewed.
pub const SERVICE_ANNOUNCEMENT_TTL: Duration = Duration::from_millis(6_000);

/// The announcement of a host of a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnnounceHost {
    /// The report of the host.
    pub report: HostReport,
}

/// The path at which a host sends its heartbeats: a long-lived request whose body has one
/// line per heartbeat, and whose answer has one line for each.
pub const HEARTBEATS_PATH: &str = "/beats";

/// The answer to a heartbeat that was accepted.
pub const HEARTBEAT_ACCEPTED: &str = "heard";

/// The answer to a heartbeat if the receiver needs the host's full report first. It is the
/// last line of the answer.
pub const HEARTBEAT_UNKNOWN: &str = "unknown";

/// The fields of a host's report that change often, encoded as a list without field names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "BeatFields", into = "BeatFields")]
pub struct HostHeartbeat {
    /// The id of the host.
    pub host: HostId,
    /// The lower 32 bits of the host's incarnation.
    pub incarnation_bits: u32,
    /// The number of the report within the incarnation.
    pub sequence: u64,
    /// The load of the host's engine.
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
    /// The heartbeat of a report whose other parts are known to the receiver.
    pub fn from_report(report: &HostReport) -> Self {
        Self {
            host: report.host,
            incarnation_bits: Self::incarnation_bits_of(report),
            sequence: report.sequence,
            load: CompactLoad::from(&report.load),
        }
    }

    /// The lower 32 bits of the incarnation in a report.
    pub fn incarnation_bits_of(report: &HostReport) -> u32 {
        report.incarnation.0 as u32
    }

    /// Whether a heartbeat has all that changed between a known report and a new one.
    pub fn covers_update(known: &HostReport, report: &HostReport) -> bool {
        let mut updated = known.clone();
        updated.sequence = report.sequence;
        updated.load = report.load.clone();
        updated == *report
    }

    /// Updates a known report. False if the heartbeat is of another incarnation, or old.
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

/// The announcement of a process of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnnounceService {
    /// The report of the process.
    pub report: ServiceReport,
}

/// The reply to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementAck {
    /// The entry node that received the announcement.
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
