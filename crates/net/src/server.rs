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
use crate::patience::Patient;

/// What one listener takes at most.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Open connections.
    pub max_connections: usize,
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Time for a request's head to arrive.
    pub header_timeout: Duration,
    /// How long the other end may take nothing of an answer.
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

/// A listener that serves until it is dropped or closed.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    open: Rc<Cell<usize>>,
    /// Closed when connections are to end between their requests.
    ending: (Sender<()>, Receiver<()>),
    /// Closed when no further connections are to be taken.
    closing: Sender<()>,
}

/// Counts a connection for as long as it lives.
struct Slot(Rc<Cell<usize>>);

impl Slot {
    fn take(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for Slot {
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
        let listener = listen(addr, limits).await?;
        let (closing, closed) = async_channel::bounded(1);
        let server = Self {
            closing,
            addr: listener.local_addr()?,
            open: Rc::default(),
            ending: async_channel::bounded(1),
        };
        let open = Rc::clone(&server.open);
        let ending = server.ending.1.clone();
        compio::runtime::spawn(accept(listener, limits, open, closed, ending, handler)).detach();
        Ok(server)
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// How many connections are open.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Ends connections between their requests, new ones after their first.
    pub fn close_idle_connections(&self) {
        self.ending.0.close();
    }

    /// Takes no further connections. Open ones go on.
    pub fn stop_accepting(&self) {
        self.closing.close();
    }
}

/// Connections that may arrive together at least, whatever a server's bound: those that are
/// too many are taken and closed at once.
const QUEUE: usize = 1024;

/// As many connections as are taken may also arrive together: what the queue of the
/// operating system drops is sent again only after a second.
async fn listen(addr: SocketAddr, limits: ServerLimits) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4().await?,
        SocketAddr::V6(_) => TcpSocket::new_v6().await?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr).await?;
    let queue = i32::try_from(limits.max_connections.max(QUEUE)).unwrap_or(i32::MAX);
    socket.listen(queue).await
}

async fn accept<Handler, Answer>(
    listener: TcpListener,
    limits: ServerLimits,
    open: Rc<Cell<usize>>,
    closed: Receiver<()>,
    ending: Receiver<()>,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + 'static,
    Answer: Future<Output = Response<Body>> + 'static,
{
    loop {
        let accepted = {
            let accepted = std::pin::pin!(listener.accept());
            let closed = std::pin::pin!(closed.recv());
            match select(accepted, closed).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => return,
            }
        };
        let Ok((stream, _)) = accepted else {
            // Out of file descriptors, most likely. Give open connections time to end.
            compio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if limits.max_connections <= open.get() {
            continue;
        }
        let slot = Slot::take(&open);
        let handler = handler.clone();
        compio::runtime::spawn(serve(stream, limits, slot, ending.clone(), handler)).detach();
    }
}

async fn serve<Handler, Answer>(
    stream: TcpStream,
    limits: ServerLimits,
    slot: Slot,
    ending: Receiver<()>,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + 'static,
    Answer: Future<Output = Response<Body>> + 'static,
{
    let _slot = slot;
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let answer = handler(req);
        async move { Ok::<_, std::convert::Infallible>(answer.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(8192))
        .serve_connection(Patient::new(stream, limits.write_stall_timeout), service);
    let mut connection = std::pin::pin!(connection);
    let ended = ending.recv();
    let ended = std::pin::pin!(ended);
    let served = match select(connection.as_mut(), ended).await {
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
