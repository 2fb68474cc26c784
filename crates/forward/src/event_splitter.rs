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
    /// An event exceeds the largest accepted size.
    #[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// Splits the stream of one answer into events, across all targets that it comes from.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    scan: Scan,
    last: Option<u64>,
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
        let Some(got) = event_number(event) else {
            return Ok(());
        };
        if let Some(last) = self.last {
            let expected = last + 1;
            if got != expected {
                return Err(EventError::OutOfOrder { got, expected });
            }
        }
        self.last = Some(got);
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

/// The number in the `id` field of an event.
fn event_number(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
