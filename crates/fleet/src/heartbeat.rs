//! Announcements that only repeat an earlier one, as a control host reports them to the leader.

use serde::Deserialize;
use serde::Serialize;

use base::Incarnation;
use base::UpstreamId;

/// An announcement that only repeats an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The process that announced itself.
    pub id: UpstreamId,
    /// The process's incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The sequence number of the announcement.
    pub sequence: u64,
    /// The sequence number of the whole announcement that it repeats, of the same incarnation.
    /// Without it, the heartbeat says nothing of the state.
    #[serde(default)]
    pub repeats: Option<u64>,
    /// How long ago the sender heard it, in milliseconds.
    #[serde(default)]
    pub heard_ms_ago: u64,
}

/// The effect that a heartbeat has on a roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The process still reports the state that the roster holds.
    Refreshed,
    /// The roster doesn't hold the announcement that the heartbeat repeats.
    Lacking,
    /// The roster holds something as new, or the process has departed.
    Ignored,
}
