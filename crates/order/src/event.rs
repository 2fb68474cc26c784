//! The events that an attempt handles.

use std::sync::Arc;

use state::Reply;
use state::StoredAnswer;

/// The kind of an attempt's proposal to the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProposalKind {
    /// A claim of the key.
    Claim,
    /// The withdrawal of the attempt.
    Withdraw,
    /// The record of an outcome, of this attempt or of an earlier call.
    Record,
}

/// A service's reply to the query for the outcome of the call under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryReply {
    /// The call ran, with this answer.
    Ran(Arc<StoredAnswer>),
    /// The service knows no call under the key. One may still be on its way.
    NotKnown,
    /// The service could not be asked or gave no usable reply.
    Failed,
}

/// An event that an attempt handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A proposal was committed and applied, with this reply.
    Reply(Reply),
    /// A proposal was refused, or its reply was lost. It may still be committed.
    ProposalLost(ProposalKind),
    /// A connection to a process of the service is open, and nothing is written yet.
    /// Drop it unless [`Action::WriteRequest`](crate::Action::WriteRequest) follows.
    Connected,
    /// No connection to the service could be opened. Nothing was written.
    ConnectFailed,
    /// The service refused the call and stated that it did not run it.
    Declined,
    /// The service's whole answer, possibly after [`Event::ConnectionLost`].
    Answered(Arc<StoredAnswer>),
    /// The connection broke after the request was written, at least in part.
    ConnectionLost,
    /// The reply to [`Action::QueryOutcome`](crate::Action::QueryOutcome).
    OutcomeQueried(QueryReply),
    /// The caller disconnected.
    CallerGone,
    /// Time has passed; timeouts and retries may be due.
    Tick,
}
