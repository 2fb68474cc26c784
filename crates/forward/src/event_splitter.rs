//! Finds the whole events in the bytes of a stream of server-sent events.
//!
//! Only whole events are passed on, so that what goes on elsewhere begins where the
//! last one ended. EventSplitter are numbered, and each number follows the one before.

use derive_more::Display;
use derive_more::Error;

/// An event longer than this is not waited for, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// CompleteEvents events, ready to be passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes.
    pub bytes: Vec<u8>,
    /// How many there are.
    pub count: usize,
}

/// Bytes that are not the events that are due.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum EventError {
    /// An event came that is not the next one.
    #[display("event {got} came where {due} was due")]
    OutOfOrder {
        /// Its number.
        got: u64,
        /// The number that was due.
        due: u64,
    },
    /// An event has no end.
    #[display("an event has more than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// The events of one answer, over all upstreams that it came from.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    rest: Vec<u8>,
    last: Option<u64>,
}

impl EventSplitter {
    /// Begins after the event that the caller already has, if any.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self {
            rest: Vec::new(),
            last,
        }
    }

    /// The number of the last whole event.
    pub fn last_number(&self) -> Option<u64> {
        self.last
    }

    /// Whether bytes of an event are held that is not whole.
    pub fn has_partial_event(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Drops what isn't whole, as another upstream begins at the next event.
    pub fn drop_partial_event(&mut self) {
        self.rest.clear();
    }

    /// Takes bytes and gives the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Result<CompleteEvents, EventError> {
        self.rest.extend_from_slice(bytes);
        let mut whole = CompleteEvents::default();
        while let Some(len) = event_len(&self.rest) {
            let event: Vec<u8> = self.rest.drain(..len).collect();
            self.check(&event)?;
            whole.bytes.extend(event);
            whole.count += 1;
        }
        match MAX_EVENT_BYTES < self.rest.len() {
            true => Err(EventError::TooLong),
            false => Ok(whole),
        }
    }

    fn check(&mut self, event: &[u8]) -> Result<(), EventError> {
        let Some(got) = id_of(event) else {
            return Ok(());
        };
        if let Some(last) = self.last {
            let due = last + 1;
            if got != due {
                return Err(EventError::OutOfOrder { got, due });
            }
        }
        self.last = Some(got);
        Ok(())
    }
}

/// The length of the first event, its empty line included.
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

/// The number of an event.
fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
