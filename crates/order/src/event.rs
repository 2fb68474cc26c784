//! What happens to an attempt.

use std::sync::Arc;

use state::Reply;
use state::StoredAnswer;

/// Which proposal an event is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProposalKind {
    /// The claim.
    Claim,
    /// The withdrawal.
    Withdraw,
    /// The record of the outcome.
    Record,
}

/// What a service said when it was asked for the outcome of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryReply {
    /// It ran, with this answer.
    Ran(Arc<StoredAnswer>),
    /// The service knows nothing of it. The call may still be on its way.
    NotKnown,
    /// The service did not tell.
    Failed,
}

/// What happens to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A proposal was committed and applied.
    Reply(Reply),
    /// A proposal was refused or its reply lost. It may still be committed.
    ProposalLost(ProposalKind),
    /// A connection to a process of the service is ready, nothing is written.
    /// Unless [`Action::WriteRequest`](crate::Action::WriteRequest) follows, it is to be dropped.
    Connected,
    /// No connection could be made. Nothing was written.
    ConnectFailed,
    /// The service refused the call and says that it did not run it.
    Declined,
    /// The service answered in full. May also come after [`Event::ConnectionLost`].
    Answered(Arc<StoredAnswer>),
    /// The connection broke after the call was written, even in part.
    ConnectionLost,
    /// The service was asked for the outcome.
    OutcomeQueried(QueryReply),
    /// The caller's connection closed.
    CallerGone,
    /// Time has passed.
    Tick,
}
