//! The memory of answers that are read whole before they are passed on.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use compio::time::timeout;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use net::is_connection_end;

/// The largest answer in bytes that is read whole.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Bytes that each answer may have whatever the others have, so that a few large ones don't
/// break off all others.
const FREE_BYTES: usize = 256 * 1024;

/// Bytes that all answers together may have beyond those.
const MAX_SHARED_BYTES: usize = 24 * 1024 * 1024;

/// Why an answer was not read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerError {
    /// It is larger than an answer may be.
    TooLarge,
    /// Other large answers take up the memory.
    NoMemory,
    /// It did not come in time.
    TooSlow,
    /// Its connection broke.
    Broken,
    /// It has neither a length nor a body.
    MaybeCut,
    /// Its bytes are no body.
    Unreadable,
}

impl AnswerError {
    /// The text in the log.
    pub fn text(self) -> &'static str {
        match self {
            Self::TooLarge => "the answer is too large",
            Self::NoMemory => "too many large answers at once",
            Self::TooSlow => "the answer did not come in time",
            Self::Broken => "the answer did not come whole",
            Self::MaybeCut => "the answer may have ended before its body",
            Self::Unreadable => "the answer cannot be read",
        }
    }
}

/// Counts the bytes of answers that are being read.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerMemory(Rc<Cell<usize>>);

/// The part of one answer beyond its free bytes.
struct Reservation {
    memory: AnswerMemory,
    bytes: usize,
}

impl AnswerMemory {
    /// Reads an answer that comes within `time_limit`.
    pub async fn read(&self, body: Incoming, time_limit: Duration) -> Result<Bytes, AnswerError> {
        match timeout(time_limit, self.read_frames(body)).await {
            Ok(read) => read,
            Err(_) => Err(AnswerError::TooSlow),
        }
    }

    async fn read_frames(&self, mut body: Incoming) -> Result<Bytes, AnswerError> {
        let mut answer = BytesMut::new();
        let mut reservation = Reservation {
            memory: self.clone(),
            bytes: 0,
        };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| match is_connection_end(&e) {
                true => AnswerError::Broken,
                false => AnswerError::Unreadable,
            })?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let len = answer.len() + data.len();
            if MAX_ANSWER_BYTES < len {
                return Err(AnswerError::TooLarge);
            }
            reservation.grow_to(len.saturating_sub(FREE_BYTES))?;
            answer.extend_from_slice(&data);
        }
        Ok(answer.freeze())
    }
}

impl Reservation {
    fn grow_to(&mut self, bytes: usize) -> Result<(), AnswerError> {
        let others = self.memory.0.get() - self.bytes;
        if MAX_SHARED_BYTES < others + bytes {
            return Err(AnswerError::NoMemory);
        }
        self.memory.0.set(others + bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.0.set(self.memory.0.get() - self.bytes);
    }
}
