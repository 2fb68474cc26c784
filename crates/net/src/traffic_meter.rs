//! Counts the bytes that calls send and receive.

use std::cell::Cell;
use std::rc::Rc;

/// Approximate bytes of an HTTP head with its share of the TCP and IP headers, one way.
const HEAD_BYTES: u64 = 230;

/// Counts the bytes of calls. Clones share the same counts.
#[derive(Clone, Debug, Default)]
pub struct TrafficMeter(Rc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl TrafficMeter {
    /// Counts a sent HTTP message: its body of `body` bytes and an approximate head.
    pub fn add_sent_message(&self, body: usize) {
        self.add_sent_bytes(HEAD_BYTES + body as u64);
    }

    /// Counts a received HTTP message: its body of `body` bytes and an approximate head.
    pub fn add_received_message(&self, body: usize) {
        self.add_received_bytes(HEAD_BYTES + body as u64);
    }

    /// Counts sent bytes.
    pub fn add_sent_bytes(&self, bytes: u64) {
        self.0.sent.set(self.0.sent.get() + bytes);
    }

    /// Counts received bytes.
    pub fn add_received_bytes(&self, bytes: u64) {
        self.0.received.set(self.0.received.get() + bytes);
    }

    /// All bytes sent so far.
    pub fn sent_bytes(&self) -> u64 {
        self.0.sent.get()
    }

    /// All bytes received so far.
    pub fn received_bytes(&self) -> u64 {
        self.0.received.get()
    }
}
