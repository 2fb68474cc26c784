//! Frames of an answer, checked to be this request's and in order.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;

/// The data of the event that ends a stream.
pub const END_MARKER: &str = "[DONE]";

/// What a frame says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// The next token.
    Token {
        /// Its text.
        text: String,
    },
    /// The answer is whole: why it ended.
    Finish {
        /// The engine's reason, such as `stop` or `length`.
        reason: String,
    },
    /// A frame that was delivered before.
    Repeated,
    /// The end marker.
    Done,
}

/// A frame that cannot belong to the answer.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum FrameError {
    /// It isn't readable.
    #[display("a frame cannot be read")]
    Unreadable,
    /// It is of another request.
    #[display("a frame of request \"{found}\" came in the answer to \"{expected}\"")]
    Foreign {
        /// The request it names.
        found: String,
        /// The request that is answered.
        expected: String,
    },
    /// Frames before it are missing.
    #[display("frame {found} came where frame {expected} was due")]
    Gap {
        /// Its index.
        found: u32,
        /// The index that was due.
        expected: u32,
    },
    /// The end marker came before the answer was finished.
    #[display("the end marker came before the answer was finished")]
    EarlyEnd,
}

/// Follows one answer frame by frame.
#[derive(Clone, Debug)]
pub struct FrameSequence {
    id: String,
    next: u32,
    finished: bool,
}

#[derive(Deserialize)]
struct Chunk {
    id: String,
    index: Option<u32>,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

impl FrameSequence {
    /// Follows the answer to the request with this id, from its first token.
    pub fn new(id: String) -> Self {
        Self {
            id,
            next: 0,
            finished: false,
        }
    }

    /// Tokens that were delivered.
    pub fn delivered_tokens(&self) -> u32 {
        self.next
    }

    /// Judges the data of one event.
    pub fn check_event(&mut self, data: &str) -> Result<Frame, FrameError> {
        if data == END_MARKER {
            return match self.finished {
                true => Ok(Frame::Done),
                false => Err(FrameError::EarlyEnd),
            };
        }
        let chunk: Chunk = serde_json::from_str(data).map_err(|_| FrameError::Unreadable)?;
        if chunk.id != self.id {
            return Err(FrameError::Foreign {
                found: chunk.id,
                expected: self.id.clone(),
            });
        }
        let choice = chunk.choices.into_iter().next();
        let choice = choice.ok_or(FrameError::Unreadable)?;
        let index = chunk.index.unwrap_or(self.next);
        self.check_choice(index, choice)
    }

    fn check_choice(&mut self, index: u32, choice: Choice) -> Result<Frame, FrameError> {
        if index < self.next || self.finished {
            return Ok(Frame::Repeated);
        }
        if self.next < index {
            return Err(FrameError::Gap {
                found: index,
                expected: self.next,
            });
        }
        if let Some(reason) = choice.finish_reason {
            self.finished = true;
            return Ok(Frame::Finish { reason });
        }
        self.next += 1;
        let text = choice.delta.content.unwrap_or_default();
        Ok(Frame::Token { text })
    }
}
