//! How far an attempt has come.

use std::sync::Arc;

use crate::Refusal;
use state::StoredAnswer;

/// How far an attempt has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The claim was proposed.
    Claiming,
    /// A connection is being made. Nothing was written.
    Connecting,
    /// The call was written.
    Written,
    /// The answer was lost; the service is asked for the outcome.
    Asking,
    /// The outcome is being recorded; `None` is unknown.
    Recording(Option<Arc<StoredAnswer>>),
    /// An earlier call's outcome is unknown; the service is asked for it.
    AskingEarlier(Refusal),
    /// What the service told of an earlier call is being recorded.
    Learning(Arc<StoredAnswer>),
    /// The attempt is given up, for this reason.
    Withdrawing(Refusal),
    /// Nothing more to do.
    Closed,
}
