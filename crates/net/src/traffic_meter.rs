//! Counts what calls cost on the wire.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes of an HTTP head with its share of TCP and IP headers, about, one way.
const HEAD_BYTES: u64 = 230;

/// Bytes of calls, shared by all that use the same meter.
#[derive(Clone, Debug, Default)]
pub struct TrafficMeter(Rc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl TrafficMeter {
    /// Counts a message with a head that goes out.
    pub fn add_sent_message(&self, body: usize) {
        self.add_sent_bytes(HEAD_BYTES + body as u64);
    }

    /// Counts a message with a head that came in.
    pub fn add_received_message(&self, body: usize) {
        self.add_received_bytes(HEAD_BYTES + body as u64);
    }

    /// Counts bytes that go out.
    pub fn add_sent_bytes(&self, bytes: u64) {
        self.0.sent.set(self.0.sent.get() + bytes);
    }

    /// Counts bytes that came in.
    pub fn add_received_bytes(&self, bytes: u64) {
        self.0.received.set(self.0.received.get() + bytes);
    }

    /// Bytes that went out.
    pub fn sent_bytes(&self) -> u64 {
        self.0.sent.get()
    }

    /// Bytes that came in.
    pub fn received_bytes(&self) -> u64 {
        self.0.received.get()
    }
}
