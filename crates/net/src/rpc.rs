//! Typed JSON-RPC calls to another process, over connections that are kept open.

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

/// The largest reply that is read over a connection of its own.
const REPLY_BYTES: usize = 1024 * 1024;

/// Calls one kind of peers with one secret.
#[derive(Clone, Debug)]
pub struct RpcClient {
    client: cyper::Client,
    secret: String,
    meter: TrafficMeter,
}

/// Why a call has no reply.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum RpcError {
    /// The process cannot be reached, or it broke off.
    #[display("cannot reach {addr}")]
    Unreachable {
        /// Whom the call was for.
        addr: SocketAddr,
    },
    /// No reply in time. The call may have been taken.
    #[display("{addr} did not answer within {} ms", time_limit.as_millis())]
    Timeout {
        /// Whom the call was for.
        addr: SocketAddr,
        /// Time allowed.
        time_limit: Duration,
    },
    /// The reply is not one to this call.
    #[display("{addr} gave no readable answer to {method}")]
    Unreadable {
        /// Whom the call was for.
        addr: SocketAddr,
        /// What was called.
        method: &'static str,
    },
    /// It was not sent, as it was not to be any more once the connection stood.
    #[display("the call was withheld")]
    Withheld,
    /// The process refused the call.
    #[display("{addr} refused {method}: {fault}")]
    Refused {
        /// Whom the call was for.
        addr: SocketAddr,
        /// What was called.
        method: &'static str,
        /// Why.
        #[error(not(source))]
        fault: Fault,
    },
}

impl RpcClient {
    /// A client that names itself by `secret`.
    pub fn new(secret: impl Into<String>) -> Result<Self, cyper::Error> {
        Ok(Self {
            client: cyper::Client::new()?,
            secret: secret.into(),
            meter: TrafficMeter::default(),
        })
    }

    /// The same client, counting on this meter.
    pub fn with_meter(mut self, meter: TrafficMeter) -> Self {
        self.meter = meter;
        self
    }

    /// Calls the process at `addr` and waits at most `time_limit`.
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

    /// Calls the process at `addr` over a connection of its own, unless `may_send` says no
    /// once the connection stands. Nothing waits between that and the send.
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
        let body = read_body(response.into_body(), REPLY_BYTES, time_limit).await;
        let body = body.map_err(|_| unreachable())?;
        self.meter.add_received_message(body.len());
        Self::reply_of::<C>(addr, &body)
    }

    fn request(&self, addr: SocketAddr, body: Vec<u8>) -> Option<Request<Full<Bytes>>> {
        Request::post("/rpc")
            .header("host", addr.to_string())
            .header("authorization", format!("Bearer {}", self.secret))
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .ok()
    }

    fn reply_of<C: Call>(addr: SocketAddr, bytes: &[u8]) -> Result<C::Reply, RpcError> {
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
        Self::reply_of::<C>(addr, &bytes)
    }
}
