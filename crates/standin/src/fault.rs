//! Faults that a simulated engine can have on request.

use std::cell::Cell;

use derive_more::FromStr;

/// The number of tokens that an engine generates from one foreign frame to the next.
const FOREIGN_FRAME_INTERVAL: u32 = 5;

/// What an engine sends without end after the first token of an answer with several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, FromStr)]
pub(crate) enum Endless {
    /// The text of one event.
    Text,
    /// Comments.
    Comments,
    /// The first token, again and again.
    Repeats,
    /// Further tokens.
    Tokens,
}

/// Faults in the responses of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// The number of tokens after which a new stream's connection is dropped. Resumed streams
    /// are not dropped.
    pub(crate) cut_after: Option<u32>,
    /// Whether each frame of a token is sent twice.
    pub(crate) repeat_frames: bool,
    /// Whether frames of another request, called foreign frames, are sent in between.
    pub(crate) foreign_frames: bool,
    /// Whether the end marker is left out.
    pub(crate) no_end: bool,
    /// Whether requests are answered with the refusal of an earlier one.
    pub(crate) earlier_refusals: bool,
    /// The seconds of rest that each request is turned away with.
    pub(crate) rest_secs: Option<u32>,
    /// What comes without end, if something does.
    pub(crate) endless: Option<Endless>,
}

/// Counts an engine's tokens, to tell when a foreign frame is due.
#[derive(Debug, Default)]
pub(crate) struct ForeignFrameCounter(Cell<u32>);

impl ForeignFrameCounter {
    /// Counts a token and returns whether a foreign frame is due before it.
    pub(crate) fn is_due(&self) -> bool {
        self.0.set(self.0.get() + 1);
        self.0.get().is_multiple_of(FOREIGN_FRAME_INTERVAL)
    }
}
