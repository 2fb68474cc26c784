//! Closing a connection whose peer may still send.
//!
//! A connection that is closed with unread bytes is reset, and its peer may lose an answer that
//! it has not read yet. So the own half ends first, and what the peer still sends is discarded.

use std::io;
use std::net::Shutdown;
use std::pin::pin;
use std::time::Duration;

use compio::buf::BufResult;
use compio::io::AsyncRead;
use compio::net::TcpStream;
use compio::time::timeout;
use futures_util::future::Either;
use futures_util::future::select;
use socket2::SockRef;

use crate::ConnectionAccount;
use crate::turn::Turn;

/// How long a peer may still send.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// How long it may still send if its connection was given up: what was answered is on its way.
const GIVEN_UP_LINGER_TIME: Duration = Duration::from_millis(200);

/// The most that it may still send, in bytes.
const LINGER_BYTES: usize = 8 * 1024 * 1024;

/// Bytes that are read at once.
const BUFFER_BYTES: usize = 8 * 1024;

/// Ends the own half of a connection and discards what its peer still sends, for a bounded time. If
/// others need its place, that is shorter.
pub(crate) async fn close_after_peer(mut stream: TcpStream, account: &ConnectionAccount) {
    if let Err(e) = SockRef::from(&stream).shutdown(Shutdown::Write) {
        log::debug!("a connection had ended before it was closed: {e}");
        return;
    }
    let discarded = pin!(timeout(LINGER_TIME, discard(&mut stream, LINGER_BYTES)));
    let given_up = pin!(async {
        account.given_up().await;
        compio::time::sleep(GIVEN_UP_LINGER_TIME).await;
    });
    match select(discarded, given_up).await {
        Either::Left((Ok(Ok(())), _)) => {}
        Either::Left((Ok(Err(e)), _)) => {
            log::debug!("a connection broke while it was closed: {e}");
        }
        Either::Left((Err(_), _)) | Either::Right(_) => {
            log::debug!("the peer of a connection does not close it");
        }
    }
}

/// Reads to the end of a connection, or to `max_bytes`.
pub(crate) async fn discard(stream: &mut TcpStream, max_bytes: usize) -> io::Result<()> {
    let mut buf = Vec::with_capacity(BUFFER_BYTES);
    let mut discarded = 0;
    let mut turn = Turn::default();
    while discarded < max_bytes {
        let BufResult(read, bytes) = stream.read(buf).await;
        match read? {
            0 => return Ok(()),
            len => {
                discarded += len;
                turn.pass(len).await;
            }
        }
        buf = bytes;
        buf.clear();
    }
    log::debug!("a connection brought {discarded} bytes after its end");
    Ok(())
}
