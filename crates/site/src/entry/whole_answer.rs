//! Answers that are read whole before they are passed on.

use std::time::Duration;

use bytes::Bytes;

use forward::Failure;
use memory::Holding;
use net::BodyError;
use net::ConnectionAccount;
use net::ReceivedBody;
use net::read_answer;

/// The largest answer in bytes that is read whole.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Why an answer was not read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerError {
    /// Its body was not read.
    Body(BodyError),
    /// It has neither a length nor a body.
    MaybeCut,
}

impl AnswerError {
    /// The text in the log.
    pub fn text(self) -> &'static str {
        match self {
            Self::Body(BodyError::TooLarge { .. }) => "the answer is too large",
            Self::Body(BodyError::NoMemory) => "other answers take up the memory",
            Self::Body(BodyError::TooSlow { .. }) => "the answer did not come in time",
            Self::Body(BodyError::Broken) => "the answer did not come whole",
            Self::Body(BodyError::Unreadable) => "the answer cannot be read",
            Self::MaybeCut => "the answer may have ended before its body",
        }
    }

    /// What it means for the attempt.
    pub fn failure(self) -> Failure {
        match self {
            Self::Body(BodyError::Broken) => Failure::Broken,
            Self::Body(BodyError::TooSlow { .. }) => Failure::TimedOut,
            Self::Body(
                BodyError::TooLarge { .. } | BodyError::NoMemory | BodyError::Unreadable,
            )
            | Self::MaybeCut => Failure::Lost,
        }
    }
}

/// Reads an answer that comes within `time_limit`. Until its caller took it, it is charged to the
/// caller's connection.
pub(crate) async fn read(
    body: ReceivedBody,
    time_limit: Duration,
    caller: &ConnectionAccount,
) -> Result<Bytes, AnswerError> {
    let charge = caller.charge(Holding::Answer);
    let read = read_answer(body, MAX_ANSWER_BYTES, time_limit, charge).await;
    read.map_err(AnswerError::Body)
}
