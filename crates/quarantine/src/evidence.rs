//! What entry hosts report about requests and the ends of upstreams.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Notice;
use crate::PartSet;
use base::Incarnation;
use base::NodeId;
use base::RequestPart;
use base::UpstreamId;

/// A request that was at an upstream process when its connection broke, before its answer had
/// gone on for a while.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The process.
    pub host: UpstreamId,
    /// The incarnation of the process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The shared parts of the request's prompt.
    pub parts: PartSet,
    /// How long ago the request was sent, in milliseconds.
    pub sent_ms_ago: u64,
    /// How long ago the connection broke, in milliseconds.
    pub broke_ms_ago: u64,
}

impl CrashReport {
    /// The report as it reads after another `span`.
    pub fn aged(mut self, span: Duration) -> Self {
        let ms = span.as_millis() as u64;
        self.sent_ms_ago += ms;
        self.broke_ms_ago += ms;
        self
    }
}

/// A part that an answered request had.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundPart {
    /// The part.
    pub part: RequestPart,
    /// How long ago an answer to a request with the part went on, in milliseconds.
    pub answered_ms_ago: u64,
}

/// What an entry host reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Requests whose connections broke.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashReport>,
    /// Parts that were answered, of those in crash reports and notices.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sound: Vec<SoundPart>,
    /// Bans that requests were refused for, with the entry host that refused them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<(NodeId, PartSet)>,
    /// Bans that the entry host knows, for a leader that has begun lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub known: Vec<Notice>,
}

impl Evidence {
    /// Adds what was reported later.
    pub fn add(&mut self, other: Self) {
        self.crashes.extend(other.crashes);
        self.sound.extend(other.sound);
        self.refused.extend(other.refused);
        self.known.extend(other.known);
    }

    /// The evidence as it reads after another `span`.
    pub fn aged(mut self, span: Duration) -> Self {
        let crashes = self.crashes.into_iter();
        self.crashes = crashes.map(|report| report.aged(span)).collect();
        for sound in &mut self.sound {
            sound.answered_ms_ago += span.as_millis() as u64;
        }
        self
    }

    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
