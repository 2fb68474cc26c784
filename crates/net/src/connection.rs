//! A client connection for one request, or for several one after the other.
//!
//! Its errors tell whether any byte of the request can have been sent. Only if none was
//! may a caller be told that the request has not run.

use std::error::Error as _;
use std::fmt;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use compio::time::timeout;
use derive_more::Display;
use derive_more::Error;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;

use crate::Exchange;
use crate::ReceivedBody;
use crate::answer_first_stream::AnswerFirstStream;
use crate::exchange::OwnHalf;
use crate::overhead::Overhead;
use crate::socket::bound_buffers;
use crate::socket::open_socket;
use crate::tunnel::TunnelError;
use crate::tunnel::open_tunnel;
use crate::tunnel::set_user_timeout;

/// The largest head of a response, and the most bytes of a body that are read ahead.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// An HTTP/1 client connection. Dropping it closes it at once. [`Connection::send`] consumes it
/// without closing it, so that the body of the response can still be read.
pub struct Connection {
    addr: SocketAddr,
    /// The process that a tunnel leads through.
    peer: Option<SocketAddr>,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    own_half: OwnHalf,
    overhead: Overhead,
}

/// Connects from the address `source` of this process.
pub(crate) async fn connect_stream(source: IpAddr, addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = open_socket(addr).await?;
    bound_buffers(&socket);
    socket.bind(SocketAddr::new(source, 0)).await?;
    socket.connect(addr).await
}

async fn connect_from_any(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = open_socket(addr).await?;
    bound_buffers(&socket);
    socket.connect(addr).await
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Connection({})", self.addr)
    }
}

/// Why a request sent with [`Connection::request`] has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum RequestError {
    /// The connection had already ended. No byte of the request was sent.
    #[display("the connection had ended")]
    NotSent,
    /// The connection ended after the request may have been sent.
    #[display("the connection broke before the answer")]
    Lost,
    /// What came is no answer, so the connection was closed.
    #[display("the answer cannot be read")]
    Unreadable,
}

/// Whether an answer ended because its connection did, and not because it cannot be read.
pub fn is_connection_end(e: &hyper::Error) -> bool {
    let io = e.source().and_then(|e| e.downcast_ref::<io::Error>());
    let is_unreadable = |kind| {
        matches!(
            kind,
            io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
        )
    };
    !e.is_parse() && !io.is_some_and(|io| is_unreadable(io.kind()))
}

/// Whether an answer may have this status. Others are three digits too, but no status, or that of
/// an answer that another one follows. No request asks for another protocol.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// The response with its body, whose head has come.
fn with_overhead(response: Response<Incoming>, overhead: Overhead) -> Response<ReceivedBody> {
    overhead.record_content();
    response.map(|body| ReceivedBody::new(body, overhead))
}

/// Why a request to an address has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum SendError {
    /// No connection could be made, so nothing was sent.
    #[display("cannot connect to {addr}")]
    NotConnected {
        /// The address called.
        addr: SocketAddr,
    },
    /// The connection ended after the request may have been sent.
    #[display("the connection to {addr} broke before its answer")]
    Lost {
        /// The address called.
        addr: SocketAddr,
    },
    /// No response came in time. The request may have been accepted.
    #[display("{addr} did not answer within {} ms", time_limit.as_millis())]
    Timeout {
        /// The address called.
        addr: SocketAddr,
        /// The time allowed.
        time_limit: Duration,
    },
}

impl Connection {
    /// Connects within `time_limit`, without sending a request.
    pub async fn connect(addr: SocketAddr, time_limit: Duration) -> Result<Self, SendError> {
        match timeout(time_limit, connect_from_any(addr)).await {
            Ok(Ok(stream)) => Self::open(addr, stream).await,
            Ok(Err(_)) | Err(_) => Err(SendError::NotConnected { addr }),
        }
    }

    /// Connects within `time_limit` from this process's address `source`, without sending a
    /// request. The connection fails once sent data was not acknowledged for `user_timeout`.
    pub async fn connect_from(
        source: IpAddr,
        addr: SocketAddr,
        time_limit: Duration,
        user_timeout: Duration,
    ) -> Result<Self, SendError> {
        match timeout(time_limit, connect_stream(source, addr)).await {
            Ok(Ok(stream)) => {
                set_user_timeout(&stream, user_timeout);
                Self::open(addr, stream).await
            }
            Ok(Err(_)) | Err(_) => Err(SendError::NotConnected { addr }),
        }
    }

    /// Connects through the process at `peer`, without sending a request. Otherwise like
    /// [`Self::connect_from`].
    pub async fn connect_through(
        source: IpAddr,
        peer: SocketAddr,
        addr: SocketAddr,
        time_limit: Duration,
        user_timeout: Duration,
    ) -> Result<Self, TunnelError> {
        let stream = open_tunnel(source, peer, addr, time_limit).await?;
        set_user_timeout(&stream, user_timeout);
        let opened = Self::open(addr, stream).await;
        let opened = opened.map_err(|_| TunnelError::PeerSilent)?;
        Ok(Self {
            peer: Some(peer),
            ..opened
        })
    }

    /// Speaks HTTP on a connected stream.
    async fn open(addr: SocketAddr, stream: TcpStream) -> Result<Self, SendError> {
        let not_connected = SendError::NotConnected { addr };
        let _ = stream.set_nodelay(true);
        let own_half = OwnHalf::new(stream.clone());
        let overhead = Overhead::beside_buffer(MAX_BUFFERED_BYTES);
        let io = AnswerFirstStream::new(stream, overhead.clone());
        let handshake = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_BUFFERED_BYTES)
            .handshake(io)
            .await;
        let (sender, driver) = handshake.map_err(|_| not_connected)?;
        let held_half = own_half.clone();
        let driver = compio::runtime::spawn(async move {
            if let Err(e) = driver.await {
                log::debug!("the connection to {addr} ended: {e}");
            }
            held_half.release();
        });
        Ok(Self {
            addr,
            peer: None,
            sender,
            driver,
            own_half,
            overhead,
        })
    }

    /// The address that the connection was made to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The process that the connection leads through, if any.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// Whether another request can be sent now.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }

    pub(crate) fn own_half(&self) -> &OwnHalf {
        &self.own_half
    }

    /// Sends a request and waits for the head of its response. The connection can send the
    /// next request once the body of the response has been read to its end.
    pub async fn request(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<ReceivedBody>, RequestError> {
        self.send_request(req).await
    }

    /// Sends a request. The head of its response comes later.
    pub fn begin(mut self, req: Request<Full<Bytes>>) -> Exchange {
        let answer = Box::pin(self.send_request(req));
        Exchange::new(self, answer)
    }

    fn send_request(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> impl Future<Output = Result<Response<ReceivedBody>, RequestError>> + 'static + use<> {
        let overhead = self.overhead.clone();
        overhead.record_content();
        let sent = self.sender.try_send_request(req);
        async move {
            let response = sent.await.map_err(|mut e| match e.take_message() {
                Some(_) => RequestError::NotSent,
                None if is_connection_end(&e.into_error()) => RequestError::Lost,
                None => RequestError::Unreadable,
            })?;
            match is_final_status(response.status()) {
                true => Ok(with_overhead(response, overhead)),
                false => Err(RequestError::Unreadable),
            }
        }
    }

    /// Lets the connection live on until the body of its last response has been read.
    pub fn detach(self) {
        self.driver.detach();
    }

    /// Sends the only request of this connection and waits at most `time_limit` for the head
    /// of its response.
    pub async fn send(
        mut self,
        req: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<Response<ReceivedBody>, SendError> {
        let addr = self.addr;
        self.driver.detach();
        match timeout(time_limit, self.sender.send_request(req)).await {
            Ok(Ok(response)) if is_final_status(response.status()) => {
                Ok(with_overhead(response, self.overhead))
            }
            Ok(Ok(_) | Err(_)) => Err(SendError::Lost { addr }),
            Err(_) => Err(SendError::Timeout { addr, time_limit }),
        }
    }
}
