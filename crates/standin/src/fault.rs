//! Faults that an engine can be told to have.

use std::cell::Cell;

/// Tokens of an engine from one foreign frame to the next.
const FOREIGN_EVERY: u32 = 5;

/// Faults of the answers of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Tokens after which the link of each new stream is dropped; resumes are served.
    pub(crate) cut_after: Option<u32>,
    /// Each frame of a token is sent twice.
    pub(crate) repeat_frames: bool,
    /// Now and then a frame of another request comes between.
    pub(crate) foreign_frames: bool,
    /// The end marker is missing.
    pub(crate) no_end: bool,
}

/// Counts tokens, to tell when a foreign frame is due.
#[derive(Debug, Default)]
pub(crate) struct ForeignFrames(Cell<u32>);

impl ForeignFrames {
    /// Whether one is due before the next token.
    pub(crate) fn is_due(&self) -> bool {
        self.0.set(self.0.get() + 1);
        self.0.get().is_multiple_of(FOREIGN_EVERY)
    }
}
