//! Accepts connections within limits and serves HTTP/1 on each.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use compio::net::TcpListener;
use compio::net::TcpSocket;
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use futures_util::future::Either;
use futures_util::future::select;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;

use crate::Body;
use crate::flush::FlushCounter;
use crate::flush::FlushedBody;
use crate::write_timeout::WriteTimeoutStream;

/// Limits of what one server accepts.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The most connections that may be open at once.
    pub max_connections: usize,
    /// The largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// How long the head of a request may take to arrive.
    pub header_timeout: Duration,
    /// How long the peer may read nothing of a response.
    pub write_stall_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 1024,
            max_header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(10),
            write_stall_timeout: Duration::from_secs(30),
        }
    }
}

/// An HTTP/1 server. It accepts connections until it is dropped or told to stop.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    open_connections: Rc<Cell<usize>>,
    /// Closed to end connections that are between two requests.
    close_idle: (Sender<()>, Receiver<()>),
    /// Closed to accept no further connections.
    stop_accepting: Sender<()>,
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn count(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Server {
    /// Listens on `addr` and serves each request with `handler`.
    pub async fn bind<Handler, Answer>(
        addr: SocketAddr,
        limits: ServerLimits,
        handler: Handler,
    ) -> io::Result<Self>
    where
        Handler: Fn(Request<Incoming>) -> Answer + Clone + 'static,
        Answer: Future<Output = Response<Body>> + 'static,
    {
        let listener = listen(addr, limits.max_connections).await?;
        let (stop_accepting, stopped) = async_channel::bounded(1);
        let server = Self {
            stop_accepting,
            addr: listener.local_addr()?,
            open_connections: Rc::default(),
            close_idle: async_channel::bounded(1),
        };
        let open = Rc::clone(&server.open_connections);
        let close_idle = server.close_idle.1.clone();
        compio::runtime::spawn(accept_connections(
            listener, limits, open, stopped, close_idle, handler,
        ))
        .detach();
        Ok(server)
    }

    /// The address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Closes connections once they are idle, new ones after their first request.
    pub fn close_idle_connections(&self) {
        self.close_idle.0.close();
    }

    /// Accepts no further connections. Open connections are still served.
    pub fn stop_accepting(&self) {
        self.stop_accepting.close();
    }
}

/// The smallest accept queue, whatever a server's limit on connections: connections beyond
/// the limit are accepted and closed at once.
const MIN_ACCEPT_QUEUE: usize = 1024;

/// Listens with a queue for all connections that may be open, as they may arrive together: a
/// handshake that the operating system drops is sent again only after a second.
pub(crate) async fn listen(addr: SocketAddr, max_connections: usize) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4().await?,
        SocketAddr::V6(_) => TcpSocket::new_v6().await?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr).await?;
    let queue = i32::try_from(max_connections.max(MIN_ACCEPT_QUEUE)).unwrap_or(i32::MAX);
    socket.listen(queue).await
}

async fn accept_connections<Handler, Answer>(
    listener: TcpListener,
    limits: ServerLimits,
    open: Rc<Cell<usize>>,
    stopped: Receiver<()>,
    close_idle: Receiver<()>,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + 'static,
    Answer: Future<Output = Response<Body>> + 'static,
{
    loop {
        let accepted = {
            let accepted = std::pin::pin!(listener.accept());
            let stopped = std::pin::pin!(stopped.recv());
            match select(accepted, stopped).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => return,
            }
        };
        let Ok((stream, _)) = accepted else {
            // Most likely out of file descriptors. Wait for open connections to end.
            compio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if limits.max_connections <= open.get() {
            continue;
        }
        let open = OpenConnection::count(&open);
        let handler = handler.clone();
        compio::runtime::spawn(serve(stream, limits, open, close_idle.clone(), handler)).detach();
    }
}

async fn serve<Handler, Answer>(
    stream: TcpStream,
    limits: ServerLimits,
    open: OpenConnection,
    close_idle: Receiver<()>,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + 'static,
    Answer: Future<Output = Response<Body>> + 'static,
{
    let _open = open;
    let _ = stream.set_nodelay(true);
    let flushes = Rc::new(FlushCounter::default());
    let body_flushes = Rc::clone(&flushes);
    let service = service_fn(move |req| {
        let answer = handler(req);
        let flushes = Rc::clone(&body_flushes);
        async move {
            let response = answer.await;
            let response = response.map(|body| FlushedBody::new(body, flushes));
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(8192))
        .serve_connection(
            WriteTimeoutStream::new(stream, limits.write_stall_timeout, flushes),
            service,
        );
    let mut connection = std::pin::pin!(connection);
    let close_idle = close_idle.recv();
    let close_idle = std::pin::pin!(close_idle);
    let served = match select(connection.as_mut(), close_idle).await {
        Either::Left((served, _)) => served,
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = served {
        log::debug!("a connection ended: {e}");
    }
}
