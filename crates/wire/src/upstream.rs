//! Calls that hosts of model engines and plain services make to an entry node.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::BriefLoad;
use crate::Call;
use base::HostId;
use base::HostReport;
use base::NodeId;
use base::ServiceReport;

/// How often an upstream announces itself.
pub const ANNOUNCE_EVERY: Duration = Duration::from_millis(1_000);

/// How long a host's announcement lives unless renewed.
pub const ANNOUNCEMENT_LIFE: Duration = Duration::from_millis(5_000);

/// How long a service's announcement lives unless renewed.
pub const SERVICE_LIFE: Duration = Duration::from_millis(6_000);

/// A host of a model engine says what it is and does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnnounceHost {
    /// What it says.
    pub report: HostReport,
}

/// Where a host sends its beats: one long request whose body is a line for each beat,
/// answered by a line for each.
pub const BEATS_PATH: &str = "/beats";

/// The answer to a beat that was heard.
pub const BEAT_HEARD: &str = "heard";

/// The answer to a beat of a host whose whole report is needed first. The last one.
pub const BEAT_UNKNOWN: &str = "unknown";

/// What changes all the time about a host. It travels without its fields' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "BeatFields", into = "BeatFields")]
pub struct HostBeat {
    /// The host.
    pub host: HostId,
    /// The lower half of its incarnation.
    pub life: u32,
    /// The report's sequence.
    pub sequence: u64,
    /// Its load.
    pub load: BriefLoad,
}

type BeatFields = (HostId, u32, u64, BriefLoad);

impl From<BeatFields> for HostBeat {
    fn from((host, life, sequence, load): BeatFields) -> Self {
        Self {
            host,
            life,
            sequence,
            load,
        }
    }
}

impl From<HostBeat> for BeatFields {
    fn from(beat: HostBeat) -> Self {
        (beat.host, beat.life, beat.sequence, beat.load)
    }
}

impl HostBeat {
    /// The beat that stands for a report whose rest is known.
    pub fn of(report: &HostReport) -> Self {
        Self {
            host: report.host,
            life: Self::life_of(report),
            sequence: report.sequence,
            load: BriefLoad::from(&report.load),
        }
    }

    /// What a beat says of a host's life.
    pub fn life_of(report: &HostReport) -> u32 {
        report.incarnation.0 as u32
    }

    /// Whether a beat tells all that is new in a report to one who knows an earlier one.
    pub fn suffices(known: &HostReport, report: &HostReport) -> bool {
        let mut renewed = known.clone();
        renewed.sequence = report.sequence;
        renewed.load = report.load.clone();
        renewed == *report
    }

    /// Brings a known report up to date. False if the beat is of another life, or old.
    pub fn renew(&self, report: &mut HostReport) -> bool {
        let same_life = Self::life_of(report) == self.life;
        if report.host != self.host || !same_life || self.sequence <= report.sequence {
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
