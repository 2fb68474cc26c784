//! Sockets, and what the system holds of their connections.

use std::io;
use std::net::SocketAddr;

use compio::net::TcpSocket;

/// What the system holds of what arrives on a connection, in bytes. Enough for a body of 4 MB in
/// 3 s over a way of some 50 ms.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// What the system holds of what was written to a connection and not taken, in bytes.
const SEND_BUFFER_BYTES: u32 = 64 * 1024;

/// Opens a socket for addresses like `addr`.
pub(crate) async fn open_socket(addr: SocketAddr) -> io::Result<TcpSocket> {
    match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4().await,
        SocketAddr::V6(_) => TcpSocket::new_v6().await,
    }
}

/// Bounds what the system holds of each connection that is made or accepted on a socket. What it
/// holds counts as memory of this process, though nobody sees it here.
pub(crate) fn bound_buffers(socket: &TcpSocket) {
    let bounded = socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SEND_BUFFER_BYTES));
    if let Err(e) = bounded {
        log::warn!("the system's buffers stay without a bound: {e}");
    }
}
