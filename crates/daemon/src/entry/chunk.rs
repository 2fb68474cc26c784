//! Parses the frames of an engine's answer and checks their request and order.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;

/// The data of the event that ends a stream of frames.
pub const END_MARKER: &str = "[DONE]";

/// A frame of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// The next token.
    Token {
        /// The text of the token.
        text: String,
    },
    /// The answer is complete.
    Finish {
        /// Why it ended, as the engine says, such as `stop` or `length`.
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
    /// The frame cannot be parsed.
    #[display("a frame cannot be read")]
    Unreadable,
    /// The frame belongs to another request.
    #[display("a frame of request \"{found}\" came in the answer to \"{expected}\"")]
    Foreign {
        /// The request id in the frame.
        found: String,
        /// The id of the request that is answered.
        expected: String,
    },
    /// Frames before this one are missing.
    #[display("frame {found} came where frame {expected} was expected")]
    Gap {
        /// The index of the frame.
        found: u32,
        /// The index that was expected.
        expected: u32,
    },
    /// There are more tokens than were asked for, or as many repeated ones in a row.
    #[display("more than {max} tokens came, or were repeated")]
    TooMany {
        /// The most tokens that were asked for.
        max: u32,
    },
    /// The end marker came before the answer was finished.
    #[display("the end marker came before the answer was finished")]
    EarlyEnd,
}

/// Checks the frames of one answer in sequence.
#[derive(Clone, Debug)]
pub struct FrameSequence {
    id: String,
    /// The index of the token that is expected next.
    next: u32,
    /// The most tokens that were asked for.
    max: u32,
    /// Repeated frames since the last one that was not.
    repeats: u32,
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
    /// Expects the answer to the request with this id, from its first token, with at most `max`
    /// tokens.
    pub fn new(id: String, max: u32) -> Self {
        Self {
            id,
            next: 0,
            max,
            repeats: 0,
            finished: false,
        }
    }

    /// The number of tokens that were delivered.
    pub fn delivered_tokens(&self) -> u32 {
        self.next
    }

    /// Parses and checks the data of one event.
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
            return self.count_repeat();
        }
        self.repeats = 0;
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
        if self.max <= self.next {
            return Err(FrameError::TooMany { max: self.max });
        }
        self.next += 1;
        let text = choice.delta.content.unwrap_or_default();
        Ok(Frame::Token { text })
    }

    fn count_repeat(&mut self) -> Result<Frame, FrameError> {
        self.repeats += 1;
        match self.max < self.repeats {
            true => Err(FrameError::TooMany { max: self.max }),
            false => Ok(Frame::Repeated),
        }
    }
}
