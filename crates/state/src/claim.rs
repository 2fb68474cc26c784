//! The commands to the ledger and their replies.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use crate::KeyStatus;
use crate::LogTime;
use crate::StoredAnswer;
use base::Digest;
use base::OrderKey;
use base::OrgName;
use base::ServiceName;

/// Claims a key: asks for the right to send one call under it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The organisation that the key belongs to.
    pub org: OrgName,
    /// The idempotency key.
    pub key: OrderKey,
    /// The digest of the request, to notice another request under the same key.
    pub body: Digest,
    /// The service that the call is for.
    pub service: ServiceName,
    /// The attempt that asks.
    pub attempt: AttemptId,
    /// The lowest sequence of the node for which a claim may still be granted.
    pub floor: u64,
    /// The latest log index that the node surely knew when the call arrived.
    pub seen: u64,
    /// The time after which the outcome becomes unknown if none is recorded.
    pub run_for: Duration,
    /// How long the ledger keeps the outcome.
    pub retention: Duration,
}

/// The reply to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// This attempt, and no other, may send its call once.
    Granted,
    /// Another attempt was granted, and its call may be running.
    Running {
        /// When the other attempt was granted.
        since: LogTime,
    },
    /// A call under the key ran, with this answer.
    Done(Arc<StoredAnswer>),
    /// A call under the key may have run.
    Unknown {
        /// When its outcome became unknown.
        since: LogTime,
    },
    /// The key was used for another body or service.
    OtherBody,
    /// No call ran, and a caller was just told so. Only later calls are granted.
    Closed {
        /// The log index of the withdrawal. A claim must have seen it to be granted.
        at: u64,
    },
    /// The attempt was withdrawn before, or is no longer open at its node.
    Withdrawn,
    /// The ledger has no room for the key, or the organisation's share is used up.
    Full,
}

/// Withdraws an attempt whose call did not run and never will.
///
/// If the reply says that the key is free, no call that arrived earlier runs later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdraw {
    /// The organisation that the key belongs to.
    pub org: OrgName,
    /// The idempotency key.
    pub key: OrderKey,
    /// The attempt. No claim of it is granted from now on.
    pub attempt: AttemptId,
    /// The lowest sequence of the node for which a claim may still be granted.
    pub floor: u64,
}

/// What the entry node knows of a call that it sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The call ran, with this answer.
    Done(Arc<StoredAnswer>),
    /// The call may have run; its answer was lost.
    Unknown,
}

/// Records the outcome of a granted claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordOutcome {
    /// The organisation that the key belongs to.
    pub org: OrgName,
    /// The idempotency key.
    pub key: OrderKey,
    /// The attempt whose claim was granted.
    pub attempt: AttemptId,
    /// The outcome of its call.
    pub outcome: Outcome,
}

/// Records the answer that a service gave when it was asked for a key's outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordQueriedAnswer {
    /// The organisation that the key belongs to.
    pub org: OrgName,
    /// The idempotency key.
    pub key: OrderKey,
    /// The answer that the service gave.
    pub answer: Arc<StoredAnswer>,
}

/// The reply to a [`RecordOutcome`] or a [`RecordQueriedAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordReply {
    /// The ledger holds an answer.
    Done,
    /// The ledger holds the outcome as unknown.
    Unknown,
    /// The ledger keeps another status of the key.
    Kept(KeyStatus),
}
