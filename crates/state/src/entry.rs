//! What is remembered of one key.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use crate::Claim;
use crate::Digest;
use crate::KEY_CLOSED_FOR;
use crate::KeyStatus;
use crate::LogTime;
use crate::StoredAnswer;
use base::OrderKey;
use base::ServiceName;

/// Bytes that a record takes up besides its key and answer.
const RECORD_BYTES: u64 = 440;

/// Where a record's call stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Phase {
    /// Granted, and not heard of since.
    Claimed,
    /// It ran.
    Done(Arc<StoredAnswer>),
    /// It may have run.
    Unknown,
    /// It did not run, and a caller may have been told so.
    Closed {
        /// The index of the log at which it was closed.
        at: u64,
    },
}

/// What is remembered of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) body: Digest,
    /// None of a closed key.
    pub(crate) service: Option<ServiceName>,
    pub(crate) attempt: AttemptId,
    pub(crate) phase: Phase,
    /// When it came into its phase.
    pub(crate) since: LogTime,
    /// When its phase ends: claimed becomes unknown, all else is forgotten.
    pub(crate) due: LogTime,
    pub(crate) retention: Duration,
}

impl Entry {
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

    /// A key that is refused to calls that came in before now.
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

    /// Bytes that it takes up.
    pub(crate) fn bytes(&self, key: &OrderKey) -> u64 {
        let answer = match &self.phase {
            Phase::Done(answer) => answer.size_bytes() as u64,
            Phase::Claimed | Phase::Unknown | Phase::Closed { .. } => 0,
        };
        RECORD_BYTES + key.as_str().len() as u64 + answer
    }

    pub(crate) fn standing(&self) -> KeyStatus {
        let since = self.since;
        match &self.phase {
            Phase::Claimed => KeyStatus::Running { since },
            Phase::Done(answer) => KeyStatus::Done(answer.clone()),
            Phase::Unknown => KeyStatus::Unknown { since },
            Phase::Closed { .. } => KeyStatus::Free,
        }
    }
}
