//! The I/O that an attempt asks its node for.

use crate::Answer;
use state::Op;

/// One piece of I/O that an attempt asks its node for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Propose this operation to the voters.
    Propose(Op),
    /// Open a connection to a process of the service, without writing to it.
    Connect,
    /// Write the request to the connection now, without waiting for anything first.
    WriteRequest,
    /// Ask the service for the outcome of the call under the key.
    QueryOutcome,
    /// Answer the caller. An attempt emits it at most once.
    Answer(Answer),
    /// Drop the connection to the service.
    DropConnection,
    /// Drop the attempt. An attempt emits it once, as its last action.
    Close,
}
