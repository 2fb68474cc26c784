//! Accepts connections within limits and serves HTTP/1 on each.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use compio::net::TcpListener;
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use futures_util::future::Either;
use futures_util::future::select;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::service::HttpService;
use hyper::service::service_fn;

use crate::Body;
use crate::ConnectionAccount;
use crate::HeadLimit;
use crate::Inbound;
use crate::ProcessMemory;
use crate::ReceivedBody;
use crate::flush::FlushCounter;
use crate::flush::FlushedBody;
use crate::linger::close_after_peer;
use crate::overhead::Overhead;
use crate::process_memory::OpenConnection;
use crate::process_memory::OwnConnections;
use crate::socket::bound_buffers;
use crate::socket::open_socket;
use crate::write_timeout::WriteTimeoutStream;
use memory::ListenerShare;

/// Limits of what one server accepts.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// The memory that its connections share with those of the process's other servers.
    pub memory: ProcessMemory,
    /// The most connections that may be open at once, if the machine bears as many.
    pub max_connections: usize,
    /// The part of the connections that the machine bears.
    pub share: ListenerShare,
    /// The largest head of a request.
    pub max_head: HeadLimit,
    /// How long the head of a request may take to arrive.
    pub header_timeout: Duration,
    /// How long the peer may read nothing of a response.
    pub write_stall_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            memory: ProcessMemory::default(),
            max_connections: 1024,
            share: ListenerShare::ALL,
            max_head: HeadLimit::new(16 * 1024),
            header_timeout: Duration::from_secs(10),
            write_stall_timeout: Duration::from_secs(30),
        }
    }
}

impl ServerLimits {
    /// The connections that may be open at once.
    fn connections(&self) -> usize {
        let head_bytes = self.max_head.buffer_bytes();
        let machine = self.memory.machine();
        let borne = machine.max_connections(self.share, head_bytes);
        self.max_connections.min(borne)
    }
}

/// An HTTP/1 server. It accepts connections until it is dropped or told to stop.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    own: OwnConnections,
    /// Closed to end connections that are between two requests.
    close_idle: (Sender<()>, Receiver<()>),
    /// Closed to accept no further connections.
    stop_accepting: Sender<()>,
}

impl Server {
    /// Listens on `addr` and serves each request with `handler`.
    pub async fn bind<Handler, Answer>(
        addr: SocketAddr,
        limits: ServerLimits,
        handler: Handler,
    ) -> io::Result<Self>
    where
        Handler: Fn(Request<Inbound>) -> Answer + Clone + 'static,
        Answer: Future<Output = Response<Body>> + 'static,
    {
        let listener = listen(addr, limits.max_connections).await?;
        let (stop_accepting, stopped) = async_channel::bounded(1);
        let server = Self {
            stop_accepting,
            addr: listener.local_addr()?,
            own: OwnConnections::default(),
            close_idle: async_channel::bounded(1),
        };
        let own = server.own.clone();
        let close_idle = server.close_idle.1.clone();
        compio::runtime::spawn(accept_connections(
            listener, limits, own, stopped, close_idle, handler,
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
        self.own.count()
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
    let socket = open_socket(addr).await?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr).await?;
    bound_buffers(&socket);
    let queue = i32::try_from(max_connections.max(MIN_ACCEPT_QUEUE)).unwrap_or(i32::MAX);
    socket.listen(queue).await
}

async fn accept_connections<Handler, Answer>(
    listener: TcpListener,
    limits: ServerLimits,
    own: OwnConnections,
    stopped: Receiver<()>,
    close_idle: Receiver<()>,
    handler: Handler,
) where
    Handler: Fn(Request<Inbound>) -> Answer + Clone + 'static,
    Answer: Future<Output = Response<Body>> + 'static,
{
    loop {
        let accepted = {
            let accepted = pin!(listener.accept());
            let stopped = pin!(stopped.recv());
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
        let opened = limits.memory.open_connection(&own, limits.connections());
        let Some(open) = opened else {
            continue;
        };
        let (limits, handler) = (limits.clone(), handler.clone());
        compio::runtime::spawn(serve(stream, limits, open, close_idle.clone(), handler)).detach();
    }
}

/// The smallest buffer that counts for what a caller may send beside content.
const MIN_BUFFER_BYTES: usize = 64 * 1024;

async fn serve<Handler, Answer>(
    stream: TcpStream,
    limits: ServerLimits,
    open: OpenConnection,
    close_idle: Receiver<()>,
    handler: Handler,
) where
    Handler: Fn(Request<Inbound>) -> Answer + 'static,
    Answer: Future<Output = Response<Body>> + 'static,
{
    let _ = stream.set_nodelay(true);
    let socket = stream.clone();
    let account = open.account().clone();
    let flushes = Rc::new(FlushCounter::default());
    let buffer_bytes = limits.max_head.buffer_bytes();
    let overhead = Overhead::beside_buffer(buffer_bytes.max(MIN_BUFFER_BYTES));
    let io = WriteTimeoutStream::new(
        stream,
        limits.write_stall_timeout,
        Rc::clone(&flushes),
        account.clone(),
        overhead.clone(),
    );
    let service = service_fn(move |req: Request<Incoming>| {
        overhead.record_content();
        let in_progress = account.begin_request();
        let inbound = |body| {
            let body = ReceivedBody::new(body, overhead.clone());
            Inbound::new(body, account.clone())
        };
        let answer = handler(req.map(inbound));
        let flushes = Rc::clone(&flushes);
        async move {
            let response = answer.await;
            let response = response.map(|body| FlushedBody::new(body, flushes, in_progress));
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(buffer_bytes)
        .serve_connection(io, service);
    let Some(served) = run(connection, &close_idle, open.account()).await else {
        return;
    };
    if let Err(e) = served {
        log::debug!("a connection ended: {e}");
    }
    close_after_peer(socket, open.account()).await;
}

/// A connection that requests are served on.
type HttpConnection<Service> = hyper::server::conn::http1::Connection<WriteTimeoutStream, Service>;

/// Serves a connection until it ends, or is given up because memory or connections are short. None
/// if it was given up.
async fn run<Service>(
    connection: HttpConnection<Service>,
    close_idle: &Receiver<()>,
    account: &ConnectionAccount,
) -> Option<hyper::Result<()>>
where
    Service: HttpService<Incoming, ResBody = FlushedBody>,
    Service::Error: std::error::Error + Send + Sync + 'static,
{
    let mut connection = pin!(connection);
    let mut given_up = pin!(account.given_up());
    let close_idle = pin!(close_idle.recv());
    match select(connection.as_mut(), select(close_idle, given_up.as_mut())).await {
        Either::Left((served, _)) => return Some(served),
        Either::Right((Either::Left(_), _)) => {
            connection.as_mut().graceful_shutdown();
            if let Either::Left((served, _)) = select(connection.as_mut(), given_up).await {
                return Some(served);
            }
        }
        Either::Right((Either::Right(_), _)) => {}
    }
    // Who reads the body of a request hears of it too, and refuses the request.
    match account.has_arrival() {
        true => Some(connection.await),
        false => None,
    }
}
