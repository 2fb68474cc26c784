//! What is to be called, and under which rules.

use std::time::Duration;

use base::OrderKey;
use base::OrgName;
use base::Ran;
use base::ServiceName;
use state::Digest;

/// Time after a call came in within which it may be sent.
pub const SEND_WINDOW: Duration = Duration::from_secs(2);

// A key that was told "not run" is open to new calls only when no earlier call
// can be sent any more.
const _: () = assert!(2 * SEND_WINDOW.as_secs() < state::KEY_CLOSED_FOR.as_secs());

/// Whether a service can be asked for the outcome of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutcomeQuery {
    /// It may be asked.
    Supported,
    /// It cannot be asked.
    Unsupported,
}

/// What the caller says of other calls under the key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum OtherCalls {
    /// Nothing: there may have been some.
    #[default]
    Possible,
    /// This call is the first, and no other is made until it is answered.
    Excluded,
}

/// An order's key and what holds for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyTerms {
    /// The caller's organisation.
    pub org: OrgName,
    /// The key.
    pub key: OrderKey,
    /// The digest of method, path and body.
    pub body_digest: Digest,
    /// Whether the service can be asked for the key's outcome.
    pub outcome_query: OutcomeQuery,
    /// What the caller says of other calls.
    pub other_calls: OtherCalls,
    /// How long the outcome is remembered.
    pub retention: Duration,
}

/// How often a call may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Idempotent: a lost call is sent again.
    Idempotent,
    /// At most once under its key.
    Keyed(KeyTerms),
    /// Not to be repeated, and without a key: sent once, and nothing is
    /// remembered of it.
    Keyless,
}

impl CallKind {
    /// What can be said, without the ledger, when a call of this kind was not sent:
    /// with a key, an earlier call may have run.
    pub fn ran_if_unsent(&self) -> Ran {
        match self {
            Self::Keyed(key) if key.other_calls == OtherCalls::Possible => Ran::Unknown,
            Self::Keyed(_) | Self::Idempotent | Self::Keyless => Ran::NotRun,
        }
    }
}

/// One call of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The service.
    pub service: ServiceName,
    /// How often it may run.
    pub kind: CallKind,
    /// Time until the caller has its answer.
    pub deadline: Duration,
}

impl Call {
    /// Time after the call came in within which it may be sent.
    pub fn send_window(&self) -> Duration {
        SEND_WINDOW.min(self.deadline / 2)
    }
}
