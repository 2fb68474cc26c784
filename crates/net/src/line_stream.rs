//! Lines exchanged over one long HTTP request, in the streamed bodies of the request and of
//! its response.
//!
//! Frequent messages, such as a host's heartbeats, then cost one line each instead of an
//! HTTP head.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::time::timeout;
use http::Request;
use http::StatusCode;
use hyper::body::Incoming;

use crate::Body;
use crate::BodySender;
use crate::LineReader;
use crate::SendError;
use crate::bounded_stream::BoundedStream;

/// The longest line of a response, in bytes.
const MAX_LINE_BYTES: usize = 256;

/// The client side of one long request that exchanges lines.
#[derive(Debug)]
pub struct LineStream {
    tx: BodySender,
    responses: LineReader<Incoming>,
}

impl LineStream {
    /// Connects to `addr` and starts the request, within `time_limit`.
    pub async fn open(
        addr: SocketAddr,
        path: &str,
        secret: &str,
        time_limit: Duration,
    ) -> Result<Self, SendError> {
        match timeout(time_limit, Self::start(addr, path, secret)).await {
            Ok(started) => started,
            Err(_) => Err(SendError::Timeout { addr, time_limit }),
        }
    }

    async fn start(addr: SocketAddr, path: &str, secret: &str) -> Result<Self, SendError> {
        let not_connected = SendError::NotConnected { addr };
        let lost = SendError::Lost { addr };
        let stream = TcpStream::connect(addr).await.map_err(|_| not_connected)?;
        let _ = stream.set_nodelay(true);
        let io = BoundedStream::new(stream);
        let handshake = hyper::client::conn::http1::handshake(io).await;
        let (mut sender, driver) = handshake.map_err(|_| not_connected)?;
        compio::runtime::spawn(async move {
            let _ = driver.await;
        })
        .detach();
        let (tx, body) = Body::stream();
        let request = Request::post(path)
            .header("host", addr.to_string())
            .header("authorization", format!("Bearer {secret}"))
            .body(body)
            .map_err(|_| not_connected)?;
        let response = sender.send_request(request).await.map_err(|_| lost)?;
        match response.status() {
            StatusCode::OK => Ok(Self {
                tx,
                responses: LineReader::new(response.into_body(), MAX_LINE_BYTES),
            }),
            _ => Err(lost),
        }
    }

    /// Sends a line within `time_limit` and waits as long again for the line that answers it.
    /// Returns none if either fails.
    pub async fn exchange_line(&mut self, line: &str, time_limit: Duration) -> Option<String> {
        let line = Bytes::from(format!("{line}\n"));
        self.tx.send(line, time_limit).await.ok()?;
        timeout(time_limit, self.responses.next_line())
            .await
            .ok()
            .flatten()
    }
}
