//! A connection that ends when its peer reads nothing for too long.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use compio::net::TcpStream;
use futures_util::future::LocalBoxFuture;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use crate::ConnectionAccount;
use crate::bounded_stream::BoundedStream;
use crate::flush::FlushCounter;
use crate::overhead::Overhead;

/// A stream that fails once a write has been pending for too long.
pub(crate) struct WriteTimeoutStream {
    inner: BoundedStream,
    write_timeout: Duration,
    flushes: Rc<FlushCounter>,
    account: ConnectionAccount,
    overhead: Overhead,
    /// The timer of a pending write.
    timer: Option<LocalBoxFuture<'static, ()>>,
}

impl WriteTimeoutStream {
    pub(crate) fn new(
        stream: TcpStream,
        write_timeout: Duration,
        flushes: Rc<FlushCounter>,
        account: ConnectionAccount,
        overhead: Overhead,
    ) -> Self {
        Self {
            inner: BoundedStream::new(stream),
            write_timeout,
            flushes,
            account,
            overhead,
            timer: None,
        }
    }

    /// Returns the polled result of a write, or an error if the write was pending too long.
    fn check_timeout<Done>(
        &mut self,
        cx: &mut Context<'_>,
        write: Poll<io::Result<Done>>,
    ) -> Poll<io::Result<Done>> {
        if write.is_ready() {
            if self.timer.take().is_some() {
                self.account.record_written();
            }
            return write;
        }
        let (limit, account) = (self.write_timeout, &self.account);
        let start = || -> LocalBoxFuture<'static, ()> {
            account.record_unwritten();
            Box::pin(compio::time::sleep(limit))
        };
        match self.timer.get_or_insert_with(start).as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Read for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let len = ready!(self.inner.poll_read_len(cx, &mut buf))?;
        Poll::Ready(self.overhead.record_read(len))
    }
}

impl Write for WriteTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.check_timeout(cx, write)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.check_timeout(cx, write)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flush = Pin::new(&mut self.inner).poll_flush(cx);
        if matches!(flush, Poll::Ready(Ok(()))) {
            self.flushes.record_flush();
        }
        self.check_timeout(cx, flush)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shutdown = Pin::new(&mut self.inner).poll_shutdown(cx);
        self.check_timeout(cx, shutdown)
    }
}
