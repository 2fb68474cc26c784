//! The status of a key in the ledger.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::LogTime;
use crate::StoredAnswer;
use base::Ran;

/// The status of a key in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyStatus {
    /// No claim holds the key, and no call ran under it within its retention.
    Free,
    /// A claim was granted, and its call may be running.
    Running {
        /// When the claim was granted.
        since: LogTime,
    },
    /// A call ran, with this answer.
    Done(Arc<StoredAnswer>),
    /// A call may have run. No other call runs under the key within its retention.
    Unknown {
        /// When the outcome became unknown.
        since: LogTime,
    },
}

impl KeyStatus {
    /// Whether a call ran under a key with this status.
    pub fn ran(&self) -> Ran {
        match self {
            Self::Free => Ran::NotRun,
            Self::Done(_) => Ran::Run,
            Self::Running { .. } | Self::Unknown { .. } => Ran::Unknown,
        }
    }
}
