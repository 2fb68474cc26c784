//! The answer to a caller.

use std::sync::Arc;

use base::Ran;
use state::LogTime;
use state::StoredAnswer;

/// Whether this call was sent to the service. Other calls under its key don't count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Sent {
    /// The call was not sent and will not be.
    No,
    /// The call was sent, at least in part.
    Yes,
}

/// Why a caller gets no answer of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The key was used before, with another body or for another service.
    KeyReused,
    /// The ledger has no room for another key.
    LedgerFull,
    /// No quorum of the voters replied in time.
    NoQuorum,
    /// Another call under the key was granted and may be running.
    Running {
        /// When the other call was granted.
        since: LogTime,
    },
    /// An earlier call under the key may have run; no call under the key runs again.
    OutcomeUnknown {
        /// When the outcome of the earlier call became unknown.
        since: LogTime,
    },
    /// An earlier call under the key was just refused as not run; send this one again.
    JustRefused,
    /// No process of the service could be reached.
    NoUpstream,
    /// The service refused the call without running it.
    Declined,
    /// The time within which the call may be sent was over.
    TooLate,
    /// The call was sent; its answer was lost or did not come in time.
    AnswerLost,
    /// The caller disconnected before the call was sent.
    CallerGone,
}

/// What an [`Answer`] contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerContent {
    /// The service's answer to this call.
    Fresh(Arc<StoredAnswer>),
    /// The answer to an earlier call under the key, from the ledger or the service.
    Stored(Arc<StoredAnswer>),
    /// The call was refused; there is no answer of the service.
    Refused(Refusal),
}

/// The answer to a caller.
///
/// With a key, `ran` covers all calls under the key within the retention
/// window; without a key, only this call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Whether the call ran, as far as is known.
    pub ran: Ran,
    /// Whether this call was sent to the service.
    pub sent: Sent,
    /// The service's answer, or the reason for the refusal.
    pub content: AnswerContent,
}
