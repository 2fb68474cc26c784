//! Finds the complete events in the bytes of a server-sent event stream.
//!
//! Only complete events are passed on to the caller, so that another target can continue
//! the stream after the last one. Events carry consecutive numbers.

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

/// Bytes of a stream that are rejected.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{error}")]
pub struct RejectedEvents {
    /// Why they are rejected.
    pub error: EventError,
    /// How many complete events came before the bad one in the same bytes.
    pub complete_before: usize,
}

/// Splits the stream of one answer into events, across all targets that it comes from.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last: Option<u64>,
}

impl EventSplitter {
    /// Expects the stream to start after event `last`, which the caller already has, if any.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self {
            partial: Vec::new(),
            last,
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
    }

    /// Adds bytes of the stream and returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Result<CompleteEvents, RejectedEvents> {
        self.partial.extend_from_slice(bytes);
        let mut complete = CompleteEvents::default();
        while let Some(len) = event_len(&self.partial) {
            let event: Vec<u8> = self.partial.drain(..len).collect();
            if let Err(error) = self.check_number(&event) {
                return Err(RejectedEvents {
                    error,
                    complete_before: complete.count,
                });
            }
            complete.bytes.extend(event);
            complete.count += 1;
        }
        match MAX_EVENT_BYTES < self.partial.len() {
            true => Err(RejectedEvents {
                error: EventError::TooLong,
                complete_before: complete.count,
            }),
            false => Ok(complete),
        }
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

/// The length in bytes of the first event, including the empty line that ends it.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if matches!(line, b"" | b"\r") {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

/// The number in the `id` field of an event.
fn event_number(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
