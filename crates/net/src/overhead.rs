//! Bounds what a connection brings beside content.
//!
//! Heads are bounded in size, and bodies by their readers. What comes between them is not: interim
//! answers before an answer, zeros before a chunk's size. So all bytes are counted, and content
//! begins the count anew.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use derive_more::Display;
use derive_more::Error;

/// Counts the bytes of a connection since the last content that its reader got.
#[derive(Clone, Debug)]
pub(crate) struct Overhead {
    bytes: Rc<Cell<usize>>,
    limit: usize,
}

/// A connection brought too much that is no content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("more than {limit} bytes without content")]
pub(crate) struct TooMuchOverhead {
    limit: usize,
}

impl Overhead {
    /// Allows what a buffer of `buffer_bytes` holds ahead of the reader, and as much again.
    pub fn beside_buffer(buffer_bytes: usize) -> Self {
        Self {
            bytes: Rc::default(),
            limit: 2 * buffer_bytes,
        }
    }

    /// Counts bytes that were read. Fails once there were too many.
    pub fn record_read(&self, len: usize) -> io::Result<()> {
        let bytes = self.bytes.get().saturating_add(len);
        self.bytes.set(bytes);
        if bytes <= self.limit {
            return Ok(());
        }
        let e = TooMuchOverhead { limit: self.limit };
        log::debug!("a connection is closed: {e}");
        Err(io::Error::new(io::ErrorKind::InvalidData, e))
    }

    /// Records that the reader got a head or a part of a body.
    pub fn record_content(&self) {
        self.bytes.set(0);
    }
}
