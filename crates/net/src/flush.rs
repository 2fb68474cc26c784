//! Holds the abort of a body back until the frames before it are written.
//!
//! A connection that gets an error from a body ends at once, and drops the frames that it has
//! taken and not written yet. They would be lost though they are whole.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use http_body::Frame;

use crate::Body;
use crate::BodyAborted;
use crate::process_memory::RequestInProgress;

/// Counts how often all that a connection had to write was written.
#[derive(Default)]
pub(crate) struct FlushCounter {
    count: Cell<u64>,
    waiting: Cell<Option<Waker>>,
}

/// A body whose abort waits for the next flush of its connection.
pub(crate) struct FlushedBody {
    body: Body,
    flushes: Rc<FlushCounter>,
    /// The count of flushes at which the body was broken off, if it was.
    aborted_at: Option<u64>,
    _in_progress: RequestInProgress,
}

impl FlushCounter {
    /// Records that everything was written.
    pub(crate) fn record_flush(&self) {
        self.count.set(self.count.get() + 1);
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }

    fn poll_flushed_after(&self, count: u64, cx: &Context<'_>) -> Poll<()> {
        if count < self.count.get() {
            return Poll::Ready(());
        }
        self.waiting.set(Some(cx.waker().clone()));
        Poll::Pending
    }
}

impl FlushedBody {
    pub(crate) fn new(
        body: Body,
        flushes: Rc<FlushCounter>,
        in_progress: RequestInProgress,
    ) -> Self {
        Self {
            body,
            flushes,
            aborted_at: None,
            _in_progress: in_progress,
        }
    }
}

impl http_body::Body for FlushedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let aborted_at = match self.aborted_at {
            Some(aborted_at) => aborted_at,
            None => match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Err(BodyAborted))) => self.flushes.count.get(),
                other => return other,
            },
        };
        self.aborted_at = Some(aborted_at);
        let flushed = self.flushes.poll_flushed_after(aborted_at, cx);
        flushed.map(|()| Some(Err(BodyAborted)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
