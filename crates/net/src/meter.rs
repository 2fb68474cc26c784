//! Counts what calls cost on the wire.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes of an HTTP head with its share of TCP and IP headers, about, one way.
const HEAD_BYTES: u64 = 230;

/// Bytes of calls, shared by all that use the same meter.
#[derive(Clone, Debug, Default)]
pub struct Meter(Rc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl Meter {
    /// Counts a message with a head that goes out.
    pub fn send(&self, body: usize) {
        self.send_raw(HEAD_BYTES + body as u64);
    }

    /// Counts a message with a head that came in.
    pub fn receive(&self, body: usize) {
        self.receive_raw(HEAD_BYTES + body as u64);
    }

    /// Counts bytes that go out.
    pub fn send_raw(&self, bytes: u64) {
        self.0.sent.set(self.0.sent.get() + bytes);
    }

    /// Counts bytes that came in.
    pub fn receive_raw(&self, bytes: u64) {
        self.0.received.set(self.0.received.get() + bytes);
    }

    /// Bytes that went out.
    pub fn sent(&self) -> u64 {
        self.0.sent.get()
    }

    /// Bytes that came in.
    pub fn received(&self) -> u64 {
        self.0.received.get()
    }
}
