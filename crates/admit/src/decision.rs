//! Decisions on requests, and reasons of refusals and failures.

use std::time::Duration;

use derive_more::Display;

use base::ModelName;
use base::Priority;
use base::Ran;
use base::ReplicaId;
use base::TokenCount;

/// What happens to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent to a replica.
    Send {
        /// The replica to send to.
        replica: ReplicaId,
        /// The request's priority at the engine.
        priority: Priority,
        /// The model to run, which is the contract's fallback model if capacity for its own
        /// model is short.
        model: ModelName,
        /// Tokens of the answer that the caller already has. If not zero, the replica continues
        /// the answer exactly after them.
        delivered: TokenCount,
    },
    /// The request waits. A later poll returns its decision.
    Queued,
    /// The request is refused.
    Refuse {
        /// Why the request is refused.
        reason: RefusalReason,
        /// Time after which a retry is likely to succeed.
        retry_after: Duration,
    },
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum RefusalReason {
    /// No contract has this name.
    #[display("no such contract")]
    NoContract,
    /// The contract's limit of requests per second is used up.
    #[display("request rate of the contract used up")]
    RequestRate,
    /// The contract's limit of tokens per second is used up.
    #[display("token rate of the contract used up")]
    TokenRate,
    /// No replica serves the model.
    #[display("no replica serves the model")]
    NoReplica,
    /// Capacity is short, so the first token would come too late.
    #[display("no replica would answer in time")]
    Late,
    /// The replica failed before the first token, and no retry was possible.
    #[display("the replica failed before the first token")]
    Failed,
    /// The replica failed during the answer, and no other replica could continue it.
    #[display("the replica failed while it answered")]
    Interrupted,
}

impl RefusalReason {
    /// Whether a request that is refused for this reason has run.
    pub fn ran(self) -> Ran {
        match self {
            Self::NoContract
            | Self::RequestRate
            | Self::TokenRate
            | Self::NoReplica
            | Self::Late => Ran::NotRun,
            Self::Failed => Ran::Unknown,
            Self::Interrupted => Ran::Run,
        }
    }
}

/// How an attempt at a replica failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Failure {
    /// The engine refused the request before it ran.
    #[display("refused by the engine")]
    Refused,
    /// The connection or the replica was lost.
    #[display("lost")]
    Lost,
}
