//! The call of a service and the rules that hold for it.

use std::time::Duration;

use base::Digest;
use base::OrderKey;
use base::OrgName;
use base::Ran;
use base::ServiceName;

/// The time after a call was accepted within which it may be sent.
pub const SEND_WINDOW: Duration = Duration::from_secs(2);

// When a withdrawn key stops refusing earlier calls, none of them can still be sent.
const _: () = assert!(2 * SEND_WINDOW.as_secs() < state::KEY_CLOSED_FOR.as_secs());

/// Whether a service can be asked for the outcome of the call under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutcomeQuery {
    /// The service answers outcome queries.
    Supported,
    /// The service cannot be asked.
    Unsupported,
}

/// What the caller states about other calls under the same key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum OtherCalls {
    /// Nothing: there may be other calls.
    #[default]
    Possible,
    /// This call is the first, and the caller makes no other until it is answered.
    Excluded,
}

/// The idempotency key of an order and the rules that hold for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyTerms {
    /// The caller's organisation.
    pub org: OrgName,
    /// The idempotency key, unique within the organisation.
    pub key: OrderKey,
    /// The digest of the service's name, the content type and the body.
    pub body_digest: Digest,
    /// Whether the service can be asked for the outcome of the call under the key.
    pub outcome_query: OutcomeQuery,
    /// What the caller states about other calls under the key.
    pub other_calls: OtherCalls,
    /// How long the ledger keeps the outcome.
    pub retention: Duration,
}

/// How often a call may run, and whether it has a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The call is idempotent: it is sent again if the connection is lost.
    Idempotent,
    /// The call runs at most once under its key.
    Keyed(KeyTerms),
    /// The call may not be repeated and has no key: it is sent once, and the ledger
    /// keeps nothing about it.
    Keyless,
}

impl CallKind {
    /// What may be answered without asking the ledger when a call of this kind was not
    /// sent. With a key, an earlier call may have run.
    pub fn ran_if_unsent(&self) -> Ran {
        match self {
            Self::Keyed(key) if key.other_calls == OtherCalls::Possible => Ran::Unknown,
            Self::Keyed(_) | Self::Idempotent | Self::Keyless => Ran::NotRun,
        }
    }
}

/// One call of a service by a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The service to call.
    pub service: ServiceName,
    /// How often the call may run.
    pub kind: CallKind,
    /// The time within which the caller is to have its answer.
    pub deadline: Duration,
}

impl Call {
    /// The time after this call was accepted within which it may be sent.
    pub fn send_window(&self) -> Duration {
        SEND_WINDOW.min(self.deadline / 2)
    }
}
