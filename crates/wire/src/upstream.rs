//! Calls that hosts of model engines and plain services make to an entry node.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Call;
use base::HostId;
use base::HostReport;
use base::Load;
use base::NodeId;
use base::ServiceReport;
use base::TokenCount;
use base::TokenRate;

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

/// What changes all the time about a host, in few bytes: the host, the lower half of
/// its incarnation, the report's sequence, and its load as running, waiting, prefill
/// tokens, slots, prefill rate and token rate, the rates in whole tokens a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostBeat(pub HostId, pub u32, pub u64, pub [u32; 6]);

impl HostBeat {
    /// The beat that stands for a report whose rest is known.
    pub fn of(report: &HostReport) -> Self {
        let load = &report.load;
        let load = [
            load.running,
            load.waiting,
            load.prefill.0,
            load.slots,
            load.prefill_rate.0 as u32,
            load.token_rate.0 as u32,
        ];
        Self(
            report.host,
            report.incarnation.0 as u32,
            report.sequence,
            load,
        )
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
        let same_life = report.incarnation.0 as u32 == self.1;
        if report.host != self.0 || !same_life || self.2 <= report.sequence {
            return false;
        }
        let [running, waiting, prefill, slots, prefill_rate, token_rate] = self.3;
        report.sequence = self.2;
        report.load = Load {
            running,
            waiting,
            prefill: TokenCount(prefill),
            slots,
            prefill_rate: TokenRate(f64::from(prefill_rate)),
            token_rate: TokenRate(f64::from(token_rate)),
        };
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
