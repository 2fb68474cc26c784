//! The ledger's record of one key.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use crate::Claim;
use crate::KEY_CLOSED_FOR;
use crate::KeyStatus;
use crate::LogTime;
use crate::StoredAnswer;
use base::Digest;
use base::OrderKey;
use base::ServiceName;

/// The size of a record in memory, besides its key and answer.
const RECORD_OVERHEAD_BYTES: u64 = 440;

/// The phase of the call under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Phase {
    /// The claim was granted; no outcome is recorded yet.
    Claimed,
    /// The call ran, with this answer.
    Done(Arc<StoredAnswer>),
    /// The call may have run.
    Unknown,
    /// No call ran, and a caller may have been told so.
    Closed {
        /// The log index of the withdrawal that closed the key.
        at: u64,
    },
}

/// The ledger's record of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeyRecord {
    /// The digest of the request, all zeros if the key is closed.
    pub(crate) body: Digest,
    /// The service of the call, `None` if the key is closed.
    pub(crate) service: Option<ServiceName>,
    pub(crate) attempt: AttemptId,
    pub(crate) phase: Phase,
    /// When the phase began.
    pub(crate) since: LogTime,
    /// When the phase ends: a claimed key becomes unknown, any other is removed.
    pub(crate) due: LogTime,
    pub(crate) retention: Duration,
}

impl KeyRecord {
    pub(crate) fn claimed(claim: &Claim, service: ServiceName, now: LogTime) -> Self {
        Self {
            body: claim.body,
            service: Some(service),
            attempt: claim.attempt,
            phase: Phase::Claimed,
            since: now,
            due: now + claim.run_for,
            retention: claim.retention,
        }
    }

    /// The record of a key that refuses calls that arrived before now.
    pub(crate) fn closed(attempt: AttemptId, at: u64, now: LogTime) -> Self {
        Self {
            body: Digest([0; 32]),
            service: None,
            attempt,
            phase: Phase::Closed { at },
            since: now,
            due: now + KEY_CLOSED_FOR,
            retention: KEY_CLOSED_FOR,
        }
    }

    /// The size of the record in bytes, as the limits count it.
    pub(crate) fn size_bytes(&self, key: &OrderKey) -> u64 {
        let answer = match &self.phase {
            Phase::Done(answer) => answer.size_bytes() as u64,
            Phase::Claimed | Phase::Unknown | Phase::Closed { .. } => 0,
        };
        RECORD_OVERHEAD_BYTES + key.as_str().len() as u64 + answer
    }

    pub(crate) fn status(&self) -> KeyStatus {
        let since = self.since;
        match &self.phase {
            Phase::Claimed => KeyStatus::Running { since },
            Phase::Done(answer) => KeyStatus::Done(answer.clone()),
            Phase::Unknown => KeyStatus::Unknown { since },
            Phase::Closed { .. } => KeyStatus::Free,
        }
    }
}
