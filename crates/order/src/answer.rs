//! What the caller is told.

use std::sync::Arc;

use base::Ran;
use state::LogTime;
use state::StoredAnswer;

/// Whether this call itself was sent to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Sent {
    /// It was not and will not be.
    No,
    /// It was, at least in part.
    Yes,
}

/// Why there is no answer of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The key was used for another body or service.
    KeyReused,
    /// The ledger is full.
    LedgerFull,
    /// The voters could not be reached in time.
    NoQuorum,
    /// Another call under the key may be running.
    Running {
        /// When it was granted, in the log's time.
        since: LogTime,
    },
    /// An earlier call under the key may have run; it is not run again.
    OutcomeUnknown {
        /// When that became known, in the log's time.
        since: LogTime,
    },
    /// A call under the key was just refused: send it again.
    JustRefused,
    /// No process of the service could be reached.
    NoUpstream,
    /// The service refused it without running it.
    Declined,
    /// The time within which it may be sent was over.
    TooLate,
    /// It was sent, and its answer was lost or did not come in time.
    AnswerLost,
    /// The caller left before it was sent.
    CallerGone,
}

/// The answer itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerContent {
    /// From this call.
    Fresh(Arc<StoredAnswer>),
    /// From the ledger or the service's memory: the key's call ran before.
    Stored(Arc<StoredAnswer>),
    /// No answer of the service.
    Refused(Refusal),
}

/// What the caller is told.
///
/// With a key, `ran` speaks of all calls under the key within the retention
/// window; without one, of this call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// What is known of the execution.
    pub ran: Ran,
    /// Whether this call was sent.
    pub sent: Sent,
    /// The answer.
    pub content: AnswerContent,
}
