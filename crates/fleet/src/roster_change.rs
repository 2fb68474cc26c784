//! Changes of a roster, and the effect that updates have on it.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Announcement;
use base::Incarnation;
use base::UpstreamId;

/// The effect that an update has on a roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The state of a process changed.
    Changed,
    /// A newer announcement reports the same state.
    Refreshed,
    /// The update changed nothing. [`Roster::reason_to_ignore`] says why.
    Ignored,
}

/// Why an announcement is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum IgnoreReason {
    /// It is not newer than what is known of its process.
    #[display("outdated")]
    Outdated,
    /// Its process has departed.
    #[display("departed")]
    Departed,
    /// Another process with a later incarnation holds its address.
    #[display("address-taken")]
    AddressTaken,
    /// It names a service that is not in the configuration, in place of one that is.
    #[display("unknown-service")]
    UnknownService,
    /// The roster is full.
    #[display("roster-full")]
    RosterFull,
}

/// A change of a roster, sent to processes that follow it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterChange {
    /// A process announced a new state.
    #[serde(rename = "Says")]
    Announced(Announcement),
    /// A process has departed.
    Gone {
        /// The process.
        id: UpstreamId,
        /// The incarnation that ended.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
}

impl RosterChange {
    /// The process that the change is about.
    pub fn id(&self) -> &UpstreamId {
        match self {
            Self::Announced(announcement) => &announcement.id,
            Self::Gone { id, .. } => id,
        }
    }

    /// Whether the process takes no more requests from now on.
    pub fn is_departure(&self) -> bool {
        match self {
            Self::Announced(announcement) => announcement.leaving,
            Self::Gone { .. } => true,
        }
    }
}
