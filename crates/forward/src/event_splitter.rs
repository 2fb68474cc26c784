//! Finds the complete events in the bytes of a server-sent event stream.
//!
//! Only complete events are passed on to the caller, so that another target can continue
//! the stream after the last one. Events carry consecutive numbers. What the splitter calls the
//! last event is the last one that it has returned: events that came before a bad one, in the
//! same bytes, are returned together with the error.

use derive_more::Display;
use derive_more::Error;

/// The longest event that is accepted, in bytes.
const MAX_EVENT_BYTES: usize = 128 * 1024;

/// Complete events, ready to be passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The bytes of the events.
    pub bytes: Vec<u8>,
    /// The number of events.
    pub count: usize,
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
    /// An event exceeds the largest accepted size.
    #[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
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
    partial: Vec<u8>,
    scan: Scan,
    last: Option<u64>,
    /// Whether events without a number followed the last one that has a number.
    has_unnumbered: bool,
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

    /// Drops an incomplete event, because another target sends it again from its start.
    pub fn drop_partial_event(&mut self) {
        self.partial.clear();
        self.scan = Scan::default();
    }

    /// Adds bytes of the stream and returns the events that are complete now. Once bytes are
    /// rejected, no more of the same target may be added.
    pub fn push(&mut self, bytes: &[u8]) -> CompleteEvents {
        self.partial.extend_from_slice(bytes);
        let mut complete = CompleteEvents::default();
        loop {
            match self.take_event() {
                Ok(Some(event)) => {
                    complete.bytes.extend(event);
                    complete.count += 1;
                }
                Ok(None) => return complete,
                Err(e) => {
                    self.drop_partial_event();
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
        self.check_number(&event)?;
        Ok(Some(event))
    }

    fn check_number(&mut self, event: &[u8]) -> Result<(), EventError> {
        let got = match (event_number(event), self.last) {
            (EventNumber::Number(got), _) => got,
            (EventNumber::Unreadable, Some(_)) => return Err(EventError::Unreadable),
            (EventNumber::Unreadable, None) | (EventNumber::Missing, _) => {
                self.has_unnumbered |= has_data(event);
                return Ok(());
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
        Ok(())
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

/// What the `id` field of an event says.
enum EventNumber {
    Number(u64),
    /// There is no such field.
    Missing,
    /// It is no number.
    Unreadable,
}

fn event_number(event: &[u8]) -> EventNumber {
    let mut lines = event.split(|byte| *byte == b'\n');
    let Some(id) = lines.find_map(|line| line.strip_prefix(b"id:")) else {
        return EventNumber::Missing;
    };
    let text = std::str::from_utf8(id).ok();
    let number = text.and_then(|text| text.trim().parse().ok());
    number.map_or(EventNumber::Unreadable, EventNumber::Number)
}

/// Whether an event carries data. Otherwise it is only a comment, or nothing.
fn has_data(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(b"data"))
}
