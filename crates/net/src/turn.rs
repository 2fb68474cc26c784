//! The part of the loop's time that one connection gets at once.
//!
//! A peer that sends as fast as it is read always has something to be read. One thread serves all
//! connections, so after some bytes the others come first.

use std::future::poll_fn;
use std::task::Context;
use std::task::Poll;

/// Bytes that one connection may bring before others get their turn.
const TURN_BYTES: usize = 32 * 1024;

/// What is left of a connection's turn.
#[derive(Debug)]
pub(crate) struct Turn {
    left: usize,
}

impl Default for Turn {
    fn default() -> Self {
        Self { left: TURN_BYTES }
    }
}

impl Turn {
    /// Counts bytes that were read.
    pub fn record(&mut self, len: usize) {
        self.left = self.left.saturating_sub(len);
    }

    /// Ready while the turn lasts. Afterwards others run first, and another turn begins.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if 0 < self.left {
            return Poll::Ready(());
        }
        *self = Self::default();
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Counts bytes that were read, and waits for the next turn if this one is over.
    pub async fn pass(&mut self, len: usize) {
        self.record(len);
        poll_fn(|cx| self.poll(cx)).await;
    }
}
