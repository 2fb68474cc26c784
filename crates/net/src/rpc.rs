//! Typed JSON-RPC calls to another process, over connections that are kept open.

use std::net::SocketAddr;
use std::time::Duration;

use compio::time::timeout;
use derive_more::Display;
use derive_more::Error;

use wire::Call;
use wire::Fault;

use crate::Meter;

/// Calls one kind of peers with one secret.
#[derive(Clone, Debug)]
pub struct RpcClient {
    client: cyper::Client,
    secret: String,
    meter: Meter,
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
    #[display("{addr} did not answer within {} ms", span.as_millis())]
    Timeout {
        /// Whom the call was for.
        addr: SocketAddr,
        /// Time allowed.
        span: Duration,
    },
    /// The reply is not one to this call.
    #[display("{addr} gave no readable answer to {method}")]
    Unreadable {
        /// Whom the call was for.
        addr: SocketAddr,
        /// What was called.
        method: &'static str,
    },
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
    pub fn open(secret: impl Into<String>) -> Result<Self, cyper::Error> {
        Ok(Self {
            client: cyper::Client::new()?,
            secret: secret.into(),
            meter: Meter::default(),
        })
    }

    /// The same client, counting on this meter.
    pub fn metered(mut self, meter: Meter) -> Self {
        self.meter = meter;
        self
    }

    /// Calls the process at `addr` and waits at most `span`.
    pub async fn call<C: Call>(
        &self,
        addr: SocketAddr,
        call: &C,
        span: Duration,
    ) -> Result<C::Reply, RpcError> {
        match timeout(span, self.exchange(addr, call)).await {
            Ok(done) => done,
            Err(_) => Err(RpcError::Timeout { addr, span }),
        }
    }

    async fn exchange<C: Call>(&self, addr: SocketAddr, call: &C) -> Result<C::Reply, RpcError> {
        let unreachable = || RpcError::Unreachable { addr };
        let bytes = wire::encode_call(call);
        self.meter.send(bytes.len());
        let req = self
            .client
            .post(format!("http://{addr}/rpc"))
            .and_then(|req| req.bearer_auth(&self.secret))
            .and_then(|req| req.header("content-type", "application/json"))
            .map_err(|_| unreachable())?
            .body(bytes);
        let response = req.send().await.map_err(|_| unreachable())?;
        let bytes = response.bytes().await.map_err(|_| unreachable())?;
        self.meter.receive(bytes.len());
        match wire::decode_reply::<C>(&bytes) {
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
}
