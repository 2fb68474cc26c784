//! The commands of the ledger and their replies.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use crate::Digest;
use crate::KeyStatus;
use crate::LogTime;
use crate::StoredAnswer;
use base::OrderKey;
use base::OrgName;
use base::ServiceName;

/// Asks for the right to send one call under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The organisation that the key belongs to.
    pub org: OrgName,
    /// The key.
    pub key: OrderKey,
    /// The digest of what is to be sent.
    pub body: Digest,
    /// The service.
    pub service: ServiceName,
    /// The call.
    pub attempt: AttemptId,
    /// The node's lowest sequence that may still be claimed for.
    pub floor: u64,
    /// The latest index of the log that the node knew when the call came in.
    pub seen: u64,
    /// Time after which the claim's outcome is unknown unless it was recorded.
    pub run_for: Duration,
    /// How long the outcome is remembered.
    pub retention: Duration,
}

/// The answer to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The attempt alone may send, once.
    Granted,
    /// Another attempt was granted and may be running.
    Running {
        /// When it was granted.
        since: LogTime,
    },
    /// The key's call ran.
    Done(Arc<StoredAnswer>),
    /// The key's call may have run.
    Unknown {
        /// When it became unknown.
        since: LogTime,
    },
    /// The key was used for another body or service.
    OtherBody,
    /// Nothing ran, but a caller was just told so: only calls that came in later
    /// are granted.
    Closed {
        /// The index of the log from which on calls are granted.
        at: u64,
    },
    /// The attempt was withdrawn before, or its node has gone on without it.
    Withdrawn,
    /// The ledger or the organisation's part of it is full.
    Full,
}

/// Gives up an attempt that did not run and never will.
///
/// If it leaves the key free, then no call that came in before runs later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdraw {
    /// The organisation that the key belongs to.
    pub org: OrgName,
    /// The key.
    pub key: OrderKey,
    /// The call. No claim for it is granted from now on.
    pub attempt: AttemptId,
    /// The node's lowest sequence that may still be claimed for.
    pub floor: u64,
}

/// What the claimant learned of its call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran, with this answer.
    Done(Arc<StoredAnswer>),
    /// Its answer was lost.
    Unknown,
}

/// Records what became of a granted claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordOutcome {
    /// The organisation that the key belongs to.
    pub org: OrgName,
    /// The key.
    pub key: OrderKey,
    /// The call.
    pub attempt: AttemptId,
    /// What became of it.
    pub outcome: Outcome,
}

/// Records an answer that the service gave when it was asked about a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordQueriedAnswer {
    /// The organisation that the key belongs to.
    pub org: OrgName,
    /// The key.
    pub key: OrderKey,
    /// The answer.
    pub answer: Arc<StoredAnswer>,
}

/// The answer to a [`RecordOutcome`] or a [`RecordQueriedAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordReply {
    /// The answer stands in the ledger.
    Done,
    /// That the outcome is unknown stands in the ledger.
    Unknown,
    /// The ledger says something else, which stays.
    Kept(KeyStatus),
}
