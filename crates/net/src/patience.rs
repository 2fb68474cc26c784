//! A connection that ends when its other end takes nothing for too long.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::future::LocalBoxFuture;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

/// A stream whose writes fail once one of them has waited too long.
pub(crate) struct Patient {
    inner: HyperStream<TcpStream>,
    stall: Duration,
    /// Runs while a write waits.
    waiting: Option<LocalBoxFuture<'static, ()>>,
}

impl Patient {
    /// Lets a write wait for `stall`.
    pub(crate) fn new(stream: TcpStream, stall: Duration) -> Self {
        Self {
            inner: HyperStream::new_plain(stream),
            stall,
            waiting: None,
        }
    }

    /// Gives what a write came to, or the end of patience with it.
    fn judge<Done>(
        &mut self,
        cx: &mut Context<'_>,
        write: Poll<io::Result<Done>>,
    ) -> Poll<io::Result<Done>> {
        if write.is_ready() {
            self.waiting = None;
            return write;
        }
        let stall = self.stall;
        let start = || -> LocalBoxFuture<'static, ()> { Box::pin(compio::time::sleep(stall)) };
        match self.waiting.get_or_insert_with(start).as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Read for Patient {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl Write for Patient {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.judge(cx, write)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.judge(cx, write)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flush = Pin::new(&mut self.inner).poll_flush(cx);
        self.judge(cx, flush)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shutdown = Pin::new(&mut self.inner).poll_shutdown(cx);
        self.judge(cx, shutdown)
    }
}
