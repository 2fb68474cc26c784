//! The stages of an attempt.

use std::sync::Arc;

use crate::Refusal;
use state::StoredAnswer;

/// What an attempt does or waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The claim is proposed to the voters.
    Claiming,
    /// A connection to the service is being opened. Nothing is written yet.
    Connecting,
    /// The request is written; the service's answer is awaited.
    AwaitingAnswer,
    /// The connection was lost; the service is asked for the outcome.
    QueryingOutcome,
    /// The outcome is proposed for the ledger; `None` if it is unknown.
    Recording(Option<Arc<StoredAnswer>>),
    /// The service is asked for an earlier call's outcome. If it reports none, the caller
    /// gets this refusal.
    QueryingEarlierOutcome(Refusal),
    /// The service's reply about an earlier call is proposed for the ledger.
    RecordingQueriedAnswer(Arc<StoredAnswer>),
    /// The call is not sent, for this reason; the withdrawal is proposed to the voters.
    Withdrawing(Refusal),
    /// The attempt has ended.
    Closed,
}
