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
use crate::LineReader;
use crate::SendError;

/// The longest line of an answer in bytes.
const LONGEST_LINE: usize = 256;

/// A request that goes on.
#[derive(Debug)]
pub struct LineStream {
    tx: BodySender,
    answers: LineReader,
}

impl LineStream {
    /// Begins one at a path of a process, within `time_limit`.
    pub async fn open(
        addr: SocketAddr,
        path: &str,
        secret: &str,
        time_limit: Duration,
    ) -> Result<Self, SendError> {
        match timeout(time_limit, Self::begin(addr, path, secret)).await {
            Ok(begun) => begun,
            Err(_) => Err(SendError::Timeout { addr, time_limit }),
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
                answers: LineReader::new(response.into_body(), LONGEST_LINE),
            }),
            _ => Err(lost),
        }
    }

    /// Says a line and waits at most `time_limit` for the answer to it.
    pub async fn exchange_line(&mut self, line: &str, time_limit: Duration) -> Option<String> {
        let line = Bytes::from(format!("{line}\n"));
        self.tx.send(line, time_limit).await.ok()?;
        timeout(time_limit, self.answers.next_line())
            .await
            .ok()
            .flatten()
    }
}
