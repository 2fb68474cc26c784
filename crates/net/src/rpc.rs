//! Typed JSON-RPC calls to another process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::time::timeout;
use derive_more::Display;
use derive_more::Error;
use http::Request;
use http_body_util::Full;

use crate::Connection;
use crate::TrafficMeter;
use crate::read_body;
use wire::Call;
use wire::Fault;

/// The largest body of a reply that [`RpcClient::call_if`] reads, in bytes.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// A client that calls other processes and identifies itself by one shared secret.
#[derive(Clone, Debug)]
pub struct RpcClient {
    client: cyper::Client,
    secret: String,
    meter: TrafficMeter,
}

/// Why a call has no reply.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum RpcError {
    /// No connection could be made, or the reply was not received in full. In the second case
    /// the call may have been accepted.
    #[display("cannot reach {addr}")]
    Unreachable {
        /// The address called.
        addr: SocketAddr,
    },
    /// No reply came in time, or the connection of [`RpcClient::call_if`] ended before the head
    /// of the reply. The call may have been accepted.
    #[display("{addr} did not answer within {} ms", time_limit.as_millis())]
    Timeout {
        /// The address called.
        addr: SocketAddr,
        /// The time allowed.
        time_limit: Duration,
    },
    /// The reply cannot be decoded as a reply to this call.
    #[display("{addr} gave no readable answer to {method}")]
    Unreadable {
        /// The address called.
        addr: SocketAddr,
        /// The method called.
        method: &'static str,
    },
    /// `may_send` of [`RpcClient::call_if`] forbade the call once the connection was made.
    #[display("the call was withheld")]
    Withheld,
    /// The process refused the call.
    #[display("{addr} refused {method}: {fault}")]
    Refused {
        /// The address called.
        addr: SocketAddr,
        /// The method called.
        method: &'static str,
        /// The reason for the refusal.
        #[error(not(source))]
        fault: Fault,
    },
}

impl RpcClient {
    /// Creates a client with a secret.
    pub fn new(secret: impl Into<String>) -> Result<Self, cyper::Error> {
        Ok(Self {
            client: cyper::Client::new()?,
            secret: secret.into(),
            meter: TrafficMeter::default(),
        })
    }

    /// Returns the client with `meter` counting its traffic.
    pub fn with_meter(mut self, meter: TrafficMeter) -> Self {
        self.meter = meter;
        self
    }

    /// Calls the process at `addr` over a kept connection and waits at most `time_limit`.
    pub async fn call<C: Call>(
        &self,
        addr: SocketAddr,
        call: &C,
        time_limit: Duration,
    ) -> Result<C::Reply, RpcError> {
        match timeout(time_limit, self.exchange(addr, call)).await {
            Ok(done) => done,
            Err(_) => Err(RpcError::Timeout { addr, time_limit }),
        }
    }

    /// Calls the process at `addr` over a new connection, unless `may_send` returns false once
    /// the connection is made. Nothing is awaited between `may_send` and the sending. Connecting,
    /// the head of the reply and its body may take `time_limit` each.
    pub async fn call_if<C: Call>(
        &self,
        addr: SocketAddr,
        call: &C,
        time_limit: Duration,
        may_send: impl FnOnce() -> bool,
    ) -> Result<C::Reply, RpcError> {
        let unreachable = || RpcError::Unreachable { addr };
        let connection = Connection::connect(addr, time_limit)
            .await
            .map_err(|_| unreachable())?;
        let bytes = wire::encode_call(call);
        self.meter.add_sent_message(bytes.len());
        let req = self.request(addr, bytes).ok_or_else(unreachable)?;
        if !may_send() {
            return Err(RpcError::Withheld);
        }
        let response = connection.send(req, time_limit).await;
        let response = response.map_err(|_| RpcError::Timeout { addr, time_limit })?;
        let body = read_body(response.into_body(), MAX_REPLY_BYTES, time_limit).await;
        let body = body.map_err(|_| unreachable())?;
        self.meter.add_received_message(body.len());
        Self::decode_reply::<C>(addr, &body)
    }

    fn request(&self, addr: SocketAddr, body: Vec<u8>) -> Option<Request<Full<Bytes>>> {
        Request::post("/rpc")
            .header("host", addr.to_string())
            .header("authorization", format!("Bearer {}", self.secret))
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .ok()
    }

    fn decode_reply<C: Call>(addr: SocketAddr, bytes: &[u8]) -> Result<C::Reply, RpcError> {
        match wire::decode_reply::<C>(bytes) {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(fault)) => Err(RpcError::Refused {
                addr,
                method: C::METHOD,
                fault,
            }),
            Err(_) => Err(RpcError::Unreadable {
                addr,
                method: C::METHOD,
            }),
        }
    }

    async fn exchange<C: Call>(&self, addr: SocketAddr, call: &C) -> Result<C::Reply, RpcError> {
        let unreachable = || RpcError::Unreachable { addr };
        let bytes = wire::encode_call(call);
        self.meter.add_sent_message(bytes.len());
        let req = self
            .client
            .post(format!("http://{addr}/rpc"))
            .and_then(|req| req.bearer_auth(&self.secret))
            .and_then(|req| req.header("content-type", "application/json"))
            .map_err(|_| unreachable())?
            .body(bytes);
        let response = req.send().await.map_err(|_| unreachable())?;
        let bytes = response.bytes().await.map_err(|_| unreachable())?;
        self.meter.add_received_message(bytes.len());
        Self::decode_reply::<C>(addr, &bytes)
    }
}
