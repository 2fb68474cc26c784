//! A connection whose failed writes end it only after all that has arrived is read.
//!
//! A server may answer a request by its head, and close the connection while the body is on its
//! way. Writing the rest fails then, and the answer is there to be read.
//!
//! The system reports a reset once. If the write took it, the next read looks like an orderly end.
//! An answer with neither a length nor chunks ends with its connection, so such an end must not
//! count as one: a read that ends after a failed write fails too.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use compio::net::TcpStream;
use futures_util::future::LocalBoxFuture;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use crate::bounded_stream::BoundedStream;
use crate::overhead::Overhead;

/// How long a connection is read after a write failed. What arrived before is there already, and
/// its end follows it.
const READ_TIME: Duration = Duration::from_millis(200);

/// A stream that reports a failed write late, so that its reader comes first.
pub(crate) struct AnswerFirstStream {
    inner: BoundedStream,
    overhead: Overhead,
    failed: Option<FailedWrite>,
}

struct FailedWrite {
    kind: io::ErrorKind,
    timer: LocalBoxFuture<'static, ()>,
}

impl AnswerFirstStream {
    pub(crate) fn new(stream: TcpStream, overhead: Overhead) -> Self {
        Self {
            inner: BoundedStream::new(stream),
            overhead,
            failed: None,
        }
    }

    /// Polls a write, and holds its error back until the time to read is over.
    fn poll_write_with<Done>(
        &mut self,
        cx: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut BoundedStream>, &mut Context<'_>) -> Poll<io::Result<Done>>,
    ) -> Poll<io::Result<Done>> {
        if self.failed.is_none() {
            match write(Pin::new(&mut self.inner), cx) {
                Poll::Ready(Err(e)) => self.failed = Some(FailedWrite::new(&e)),
                other => return other,
            }
        }
        match &mut self.failed {
            Some(failed) => failed.poll(cx).map(Err),
            None => Poll::Pending,
        }
    }

    /// Whether a write has failed, or would now. A write under way learns of a reset together with
    /// the read, in either order.
    fn has_failed(&mut self, cx: &mut Context<'_>) -> bool {
        if self.failed.is_none()
            && let Poll::Ready(Err(e)) = Pin::new(&mut self.inner).poll_flush(cx)
        {
            self.failed = Some(FailedWrite::new(&e));
        }
        self.failed.is_some()
    }
}

impl FailedWrite {
    fn new(e: &io::Error) -> Self {
        Self {
            kind: e.kind(),
            timer: Box::pin(compio::time::sleep(READ_TIME)),
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let kind = self.kind;
        self.timer.as_mut().poll(cx).map(|()| kind.into())
    }
}

impl Read for AnswerFirstStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let has_room = 0 < buf.remaining();
        let len = ready!(self.inner.poll_read_len(cx, &mut buf))?;
        if len == 0 && has_room && self.has_failed(cx) {
            log::debug!("a connection ended after a failed write: it was reset");
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Poll::Ready(self.overhead.record_read(len))
    }
}

impl Write for AnswerFirstStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |inner, cx| inner.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |inner, cx| inner.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_write_with(cx, Write::poll_flush)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
