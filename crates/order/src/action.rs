//! What an attempt wants done.

use crate::Answer;
use state::Op;

/// What an attempt wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Propose this to the voters.
    Propose(Op),
    /// Get a connection to a process of the service and write nothing yet.
    Connect,
    /// Write the call at once, without waiting for anything before.
    WriteRequest,
    /// OutcomeQuery the service for the outcome of the key.
    QueryOutcome,
    /// Tell the caller. Comes once.
    Answer(Answer),
    /// Drop the connection to the service.
    DropConnection,
    /// Forget the attempt. Comes once, last.
    Close,
}
