//! What the ledger says of a key.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::LogTime;
use crate::StoredAnswer;
use base::Ran;

/// What the ledger says of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyStatus {
    /// No call holds it: nothing ran under it within the retention window.
    Free,
    /// A call was granted and may be running.
    Running {
        /// When it was granted.
        since: LogTime,
    },
    /// It ran, and this was the answer.
    Done(Arc<StoredAnswer>),
    /// It may have run. It is never run again within the retention window.
    Unknown {
        /// When it became unknown.
        since: LogTime,
    },
}

impl KeyStatus {
    /// Whether an order in this standing ran.
    pub fn ran(&self) -> Ran {
        match self {
            Self::Free => Ran::NotRun,
            Self::Done(_) => Ran::Run,
            Self::Running { .. } | Self::Unknown { .. } => Ran::Unknown,
        }
    }
}
