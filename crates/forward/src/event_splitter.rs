//! Finds the complete events in the bytes of a server-sent event stream.
//!
//! Only complete events are passed on to the caller, so that another target can continue
//! the stream after the last one. Events carry consecutive numbers. What the splitter calls the
//! last event is the last one that it has returned: events that came before a bad one, in the
//! same bytes, are returned together with the error.
//!
//! A target that goes on with a stream may answer with something else: an error's text, or the
//! head of another answer in the bytes of this one. So what is passed on must have the form of an
//! event ([`EventText`]), and must show by its number that the target goes on where the last one
//! ended.

use derive_more::Display;
use derive_more::Error;

use crate::Framing;
use crate::event_text::EventNumber;
use crate::event_text::EventText;
use crate::event_text::LineEnd;

/// The longest event that is accepted, in bytes.
const MAX_EVENT_BYTES: usize = 128 * 1024;

/// The most bytes of comments and empty lines between two events. Upstreams that keep a connection
/// alive by comments send a few bytes every few seconds.
const MAX_PADDING_BYTES: usize = 128 * 1024;

/// Complete events, ready to be passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The bytes of the events.
    pub bytes: Vec<u8>,
    /// The number of events.
    pub count: usize,
    /// Whether one of them is output of the target, and not only a comment or an empty line.
    pub has_output: bool,
    /// Why the bytes after these events are rejected, if they are.
    pub rejected: Option<EventError>,
}

/// Why the bytes of a stream are rejected.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum EventError {
    /// The number of an event does not follow the one before it.
    #[display("received event {got} instead of event {expected}")]
    OutOfOrder {
        /// The number of the event.
        got: u64,
        /// The number that was expected.
        expected: u64,
    },
    /// An event of a stream whose events have numbers has one that cannot be read.
    #[display("the number of an event cannot be read")]
    Unreadable,
    /// Bytes that end with an empty line are no event.
    #[display("bytes that are no event")]
    NoEvent,
    /// The first event of a target that goes on with the stream has no number.
    #[display("the first event after event {after} has no number")]
    Unnumbered {
        /// The number of the last event.
        after: u64,
    },
    /// An event exceeds the largest accepted size.
    #[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// Comments and empty lines between two events exceed the largest accepted size.
    #[display("{MAX_PADDING_BYTES} bytes of comments and empty lines without an event")]
    NoOutput,
}

/// Where another target can continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumePoint {
    /// At its start, or after the event with this number.
    After(Option<u64>),
    /// Nowhere: the last event that the caller has bears no number.
    Unknown,
}

/// Splits the stream of one answer into events, across all targets that it comes from.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    framing: Framing,
    /// How the lines of the present target's events end, once one has come.
    line_end: Option<LineEnd>,
    /// Whether the present target must still show that it goes on after the last event.
    must_number_next: bool,
    partial: Vec<u8>,
    scan: Scan,
    /// Comments and empty lines since the last event of the present target, in bytes.
    padding_bytes: usize,
    last: Option<u64>,
    /// Whether events without a number followed the last one that has a number.
    has_unnumbered: bool,
    has_passed_events: bool,
    /// Whether an event had begun that no target has sent whole yet.
    is_event_due: bool,
}

/// How far the bytes of an incomplete event were searched for its end.
#[derive(Clone, Copy, Debug, Default)]
struct Scan {
    at: usize,
    line_start: usize,
}

impl EventSplitter {
    /// Expects the stream to start after event `last`, which the caller already has, if any.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// The number of the last complete event.
    pub fn last_number(&self) -> Option<u64> {
        self.last
    }

    /// Where another target can continue the stream.
    pub fn resume_point(&self) -> ResumePoint {
        match self.has_unnumbered {
            true => ResumePoint::Unknown,
            false => ResumePoint::After(self.last),
        }
    }

    /// Whether bytes of an incomplete event are held.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Whether the stream cannot end yet, because an event has begun.
    pub fn is_event_due(&self) -> bool {
        self.is_event_due || self.has_partial_event()
    }

    /// Drops an incomplete event, because another target sends it again from its start.
    pub fn drop_partial_event(&mut self) {
        self.partial.clear();
        self.scan = Scan::default();
    }

    /// Expects the bytes of a target's answer from now on. If there were events, it goes on with the
    /// stream of another target.
    pub fn begin_answer(&mut self, framing: Framing) {
        self.is_event_due |= self.has_partial_event();
        self.drop_partial_event();
        self.padding_bytes = 0;
        self.line_end = None;
        self.framing = framing;
        self.must_number_next = self.has_passed_events && self.last.is_some();
    }

    /// Adds bytes of the stream and returns the events that are complete now. Once bytes are
    /// rejected, no more of the same target may be added.
    pub fn push(&mut self, bytes: &[u8]) -> CompleteEvents {
        self.partial.extend_from_slice(bytes);
        let mut complete = CompleteEvents::default();
        loop {
            match self.take_event() {
                Ok(Some(event)) => {
                    complete.has_output |= EventText(&event).is_output();
                    complete.bytes.extend(event);
                    complete.count += 1;
                }
                Ok(None) => return complete,
                Err(e) => {
                    self.drop_partial_event();
                    self.is_event_due |= e != EventError::NoOutput;
                    complete.rejected = Some(e);
                    return complete;
                }
            }
        }
    }

    /// Takes the first event out of the held bytes, if it is complete.
    fn take_event(&mut self) -> Result<Option<Vec<u8>>, EventError> {
        let len = self.scan.event_len(&self.partial);
        if MAX_EVENT_BYTES < len.unwrap_or(self.partial.len()) {
            return Err(EventError::TooLong);
        }
        let Some(len) = len else {
            return Ok(None);
        };
        let event: Vec<u8> = self.partial.drain(..len).collect();
        self.scan = Scan::default();
        let text = EventText(&event);
        if !self.has_form(text) {
            return Err(EventError::NoEvent);
        }
        self.check_number(text)?;
        self.has_passed_events = true;
        match text.is_output() {
            true => {
                self.padding_bytes = 0;
                self.is_event_due = false;
                self.line_end = Some(text.line_end());
            }
            false => self.count_padding(event.len())?,
        }
        Ok(Some(event))
    }

    /// Whether bytes have the form of an event of this answer. Where nothing but the end of the
    /// connection ends the answer, an event may have been cut and the head of another answer may
    /// follow it, so that they have the form of one event but for its details.
    fn has_form(&self, text: EventText<'_>) -> bool {
        let is_as_before = || self.line_end.is_none_or(|end| end == text.line_end());
        match self.framing {
            Framing::Framed => text.is_event(),
            Framing::UntilClose if text.is_output() => text.is_uncut_event() && is_as_before(),
            Framing::UntilClose => text.is_event(),
        }
    }

    fn count_padding(&mut self, len: usize) -> Result<(), EventError> {
        self.padding_bytes += len;
        match MAX_PADDING_BYTES < self.padding_bytes {
            true => Err(EventError::NoOutput),
            false => Ok(()),
        }
    }

    fn check_number(&mut self, event: EventText<'_>) -> Result<(), EventError> {
        let got = match (event.number(), self.last) {
            (EventNumber::Number(got), _) => got,
            (EventNumber::Unreadable, Some(_)) => return Err(EventError::Unreadable),
            (EventNumber::Unreadable, None) | (EventNumber::Missing, _) => {
                return self.check_unnumbered(event);
            }
        };
        if let Some(last) = self.last
            && got.checked_sub(1) != Some(last)
        {
            let expected = last.saturating_add(1);
            return Err(EventError::OutOfOrder { got, expected });
        }
        self.last = Some(got);
        self.has_unnumbered = false;
        self.must_number_next = false;
        Ok(())
    }

    fn check_unnumbered(&mut self, event: EventText<'_>) -> Result<(), EventError> {
        match self.last {
            Some(after) if self.must_number_next && event.is_output() => {
                Err(EventError::Unnumbered { after })
            }
            _ => {
                self.has_unnumbered |= event.has_data();
                Ok(())
            }
        }
    }
}

impl Scan {
    /// The length in bytes of the first event, including the empty line that ends it. Searches
    /// only the bytes that were added since the last call.
    fn event_len(&mut self, bytes: &[u8]) -> Option<usize> {
        while self.at < bytes.len() {
            let at = self.at;
            self.at += 1;
            if bytes[at] != b'\n' {
                continue;
            }
            if matches!(&bytes[self.line_start..at], b"" | b"\r") {
                return Some(self.at);
            }
            self.line_start = self.at;
        }
        None
    }
}
