//! What becomes of a request.

use std::time::Duration;

use derive_more::Display;

use base::ModelName;
use base::Priority;
use base::Ran;
use base::ReplicaId;
use base::TokenCount;

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It goes to a replica.
    Send {
        /// The replica.
        replica: ReplicaId,
        /// Its urgency at the engine.
        priority: Priority,
        /// The model, which is another than the contract's if that one is short.
        model: ModelName,
        /// Tokens that the caller has. Zero starts the answer; otherwise it is an exact
        /// continuation after these tokens.
        delivered: TokenCount,
    },
    /// It waits; its decision comes from a later poll.
    Queued,
    /// It is over.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When a new try is likely to succeed.
        retry_after: Duration,
    },
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum RefusalReason {
    /// No rule has this name.
    #[display("no such contract")]
    NoContract,
    /// The contract's requests a second are used up.
    #[display("request rate of the contract used up")]
    RequestRate,
    /// The contract's tokens a second are used up.
    #[display("token rate of the contract used up")]
    TokenRate,
    /// No replica serves the model.
    #[display("no replica serves the model")]
    NoReplica,
    /// Capacity is short: the first token would come too late.
    #[display("no replica would answer in time")]
    Late,
    /// The replica failed before the first token, and no second try was possible.
    #[display("the replica failed before the first token")]
    Failed,
    /// The replica failed while it answered, and the answer could not be continued.
    #[display("the replica failed while it answered")]
    Interrupted,
}

impl RefusalReason {
    /// Whether the refused request ran.
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
    /// The engine refused it before it ran.
    #[display("refused by the engine")]
    Refused,
    /// The link or the replica was lost.
    #[display("lost")]
    Lost,
}
