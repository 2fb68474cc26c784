//! A connection that takes no more to write at once than it soon writes, and reads no more at once
//! than others can wait for.
//!
//! The buffer of a connection grows to whatever is written to it at once, and stays so large as
//! long as the connection lives. A body that is written in pieces needs a buffer of one piece.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::AsyncRead;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use crate::turn::Turn;

/// The most bytes that are taken at once.
const MAX_WRITE_BYTES: usize = 16 * 1024;

/// Bytes that are read at once.
const READ_BYTES: usize = 8 * 1024;

/// A stream whose writes are bounded, and that lets others run between its reads.
pub(crate) struct BoundedStream {
    inner: HyperStream<TcpStream>,
    turn: Turn,
}

impl BoundedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            inner: HyperStream::new_plain(stream),
            turn: Turn::default(),
        }
    }

    /// Reads into `buf`. Returns the number of bytes, zero at the end.
    pub(crate) fn poll_read_len(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBufCursor<'_>,
    ) -> Poll<io::Result<usize>> {
        ready!(self.turn.poll(cx));
        let mut bytes = [0; READ_BYTES];
        let room = buf.remaining().min(READ_BYTES);
        let inner = Pin::new(&mut self.inner);
        let read = AsyncRead::poll_read(inner, cx, &mut bytes[..room]);
        if read.is_pending() {
            self.turn = Turn::default();
        }
        let len = ready!(read)?;
        self.turn.record(len);
        buf.put_slice(&bytes[..len]);
        Poll::Ready(Ok(len))
    }
}

/// The part of `buf` that is taken at once.
fn bounded(buf: &[u8]) -> &[u8] {
    &buf[..buf.len().min(MAX_WRITE_BYTES)]
}

impl Read for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_read_len(cx, &mut buf).map_ok(|_| ())
    }
}

impl Write for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Write::poll_write(Pin::new(&mut self.inner), cx, bounded(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut filled = bufs.iter().filter(|buf| !buf.is_empty());
        let first: &[u8] = filled.next().map_or(&[], |buf| buf);
        self.poll_write(cx, first)
    }

    fn is_write_vectored(&self) -> bool {
        // Bodies are queued as they are. Without this they are copied first.
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_flush(Pin::new(&mut self.inner), cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_shutdown(Pin::new(&mut self.inner), cx)
    }
}
