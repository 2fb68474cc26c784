//! A request that goes on: its body and its answer's are streams of lines.
//!
//! What is said often, such as that a host is still there, then costs a line and not
//! a head.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::time::timeout;
use cyper_core::HyperStream;
use http::Request;
use http::StatusCode;

use crate::Body;
use crate::BodySender;
use crate::Lines;
use crate::SendError;

/// The longest line of an answer in bytes.
const LONGEST_LINE: usize = 256;

/// A request that goes on.
#[derive(Debug)]
pub struct Dialogue {
    tx: BodySender,
    answers: Lines,
}

impl Dialogue {
    /// Begins one at a path of a process, within `span`.
    pub async fn open(
        addr: SocketAddr,
        path: &str,
        secret: &str,
        span: Duration,
    ) -> Result<Self, SendError> {
        match timeout(span, Self::begin(addr, path, secret)).await {
            Ok(begun) => begun,
            Err(_) => Err(SendError::Timeout { addr, span }),
        }
    }

    async fn begin(addr: SocketAddr, path: &str, secret: &str) -> Result<Self, SendError> {
        let refused = SendError::NotConnected { addr };
        let lost = SendError::Lost { addr };
        let stream = TcpStream::connect(addr).await.map_err(|_| refused)?;
        let _ = stream.set_nodelay(true);
        let io = HyperStream::new_plain(stream);
        let handshake = hyper::client::conn::http1::handshake(io).await;
        let (mut sender, driver) = handshake.map_err(|_| refused)?;
        compio::runtime::spawn(async move {
            let _ = driver.await;
        })
        .detach();
        let (tx, body) = Body::stream();
        let request = Request::post(path)
            .header("host", addr.to_string())
            .header("authorization", format!("Bearer {secret}"))
            .body(body)
            .map_err(|_| refused)?;
        let response = sender.send_request(request).await.map_err(|_| lost)?;
        match response.status() {
            StatusCode::OK => Ok(Self {
                tx,
                answers: Lines::of(response.into_body(), LONGEST_LINE),
            }),
            _ => Err(lost),
        }
    }

    /// Says a line and waits at most `span` for the answer to it.
    pub async fn say(&mut self, line: &str, span: Duration) -> Option<String> {
        let line = Bytes::from(format!("{line}\n"));
        self.tx.send(line, span).await.ok()?;
        timeout(span, self.answers.next()).await.ok().flatten()
    }
}
