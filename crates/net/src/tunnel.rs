//! Connections to an upstream that lead through another process of the deployment.
//!
//! The process that opens the tunnel keeps all decisions: the other one only connects to the
//! upstream and joins the two connections, as with an HTTP `CONNECT`. What ends one of them ends
//! the other in the same way: a reset stays a reset, so that an answer which ends with its
//! connection can't look complete because the process in between has ended.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use compio::buf::BufResult;
use compio::io::AsyncRead;
use compio::io::AsyncWrite;
use compio::io::AsyncWriteExt;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::time::timeout;
use derive_more::Display;
use derive_more::Error;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::select;
use http::StatusCode;

use crate::OpenTunnels;
use crate::connection::connect_stream;
use crate::linger::discard;
use crate::notice::notice_text;
use crate::open_tunnels::OpenTunnel;
use crate::server::listen;
use crate::turn::Turn;

/// The largest head of a request to open a tunnel, and of its answer, in bytes.
const MAX_HEAD_BYTES: usize = 512;

/// The header fields that are read of a head. None is needed.
pub(crate) const MAX_HEADERS: usize = 8;

/// How long the head of a request to open a tunnel may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections beyond the tunnels there may be, whose heads are still read: they may be notices, and
/// the others are told that there is no room.
const MAX_SURPLUS: usize = 64;

/// How long connecting to the upstream may take.
const UPSTREAM_TIMEOUT: Duration = Duration::from_millis(100);

/// How long the process that opened a tunnel may take to close it after the upstream did.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long an upstream's answer is passed on after the process that opened a tunnel ended its
/// half. As long as that process waits for it.
const HALF_CLOSED_TIME: Duration = Duration::from_secs(2);

/// Bytes that are read at once from each side of a tunnel.
const BUFFER_BYTES: usize = 8 * 1024;

/// Why a tunnel was not opened. Nothing was sent to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum TunnelError {
    /// The process that the tunnel leads through didn't answer, or ended the connection.
    #[display("the peer does not answer")]
    PeerSilent,
    /// It takes no tunnels now, or none to this upstream.
    #[display("the peer takes no tunnel")]
    PeerRefuses,
    /// It cannot connect to the upstream.
    #[display("the peer cannot connect to the upstream")]
    UpstreamUnreachable,
}

/// What a process decides of the tunnels that lead through it.
pub trait TunnelPolicy: 'static {
    /// Whether the process at `peer` may have a tunnel to the upstream at `addr`.
    fn may_open(&self, peer: IpAddr, addr: SocketAddr) -> bool;
    /// Records whether the upstream at `addr` could be connected to.
    fn record_connect(&self, addr: SocketAddr, is_connected: bool);
    /// Takes a notice of the process at `peer`. Returns whether it may send any.
    fn take_notice(&self, peer: IpAddr, text: &str) -> bool;
}

/// Accepts tunnels until it is dropped or told to stop.
#[derive(Debug)]
pub struct TunnelServer {
    open: OpenTunnels,
    stop_accepting: Sender<()>,
}

/// What a tunnel server needs of its process.
#[derive(Clone, Debug)]
pub struct TunnelServerConfig {
    /// The address on which tunnels are accepted.
    pub addr: SocketAddr,
    /// The most tunnels at once.
    pub max_tunnels: usize,
    /// How long an upstream may leave sent data unacknowledged.
    pub user_timeout: Duration,
}

impl TunnelServer {
    /// Listens for tunnels.
    pub async fn bind(cfg: TunnelServerConfig, policy: Rc<dyn TunnelPolicy>) -> io::Result<Self> {
        let listener = listen(cfg.addr, cfg.max_tunnels).await?;
        let (stop_accepting, stopped) = async_channel::bounded::<()>(1);
        let open = OpenTunnels::default();
        let server = Self {
            open: open.clone(),
            stop_accepting,
        };
        compio::runtime::spawn(async move {
            let accept = std::pin::pin!(accept_tunnels(listener, cfg, open, policy));
            let stopped = std::pin::pin!(stopped.recv());
            select(accept, stopped).await;
        })
        .detach();
        Ok(server)
    }

    /// The number of open tunnels.
    pub fn open_tunnels(&self) -> usize {
        self.open.count()
    }

    /// The open tunnels, also later ones.
    pub fn tunnels(&self) -> OpenTunnels {
        self.open.clone()
    }

    /// Accepts no further tunnels. Open ones go on.
    pub fn stop_accepting(&self) {
        self.stop_accepting.close();
    }
}

async fn accept_tunnels(
    listener: TcpListener,
    cfg: TunnelServerConfig,
    open: OpenTunnels,
    policy: Rc<dyn TunnelPolicy>,
) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Most likely out of file descriptors. Wait for open connections to end.
            compio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if cfg.max_tunnels + MAX_SURPLUS <= open.count() {
            // Closed unread, so that its peer tries another way.
            continue;
        }
        let (cfg, policy) = (cfg.clone(), Rc::clone(&policy));
        let is_full = cfg.max_tunnels <= open.count();
        let user = TunnelUser {
            addr: peer.ip(),
            tunnel: open.add(),
            is_full,
        };
        compio::runtime::spawn(async move {
            if let Err(e) = serve_user(stream, &user, &cfg, policy.as_ref()).await {
                log::debug!("a tunnel of {peer} ended: {e}");
            }
        })
        .detach();
    }
}

/// A process that opens a tunnel or sends a notice.
struct TunnelUser {
    addr: IpAddr,
    tunnel: OpenTunnel,
    /// Whether there are as many tunnels as there may be.
    is_full: bool,
}

async fn serve_user(
    mut stream: TcpStream,
    user: &TunnelUser,
    cfg: &TunnelServerConfig,
    policy: &dyn TunnelPolicy,
) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    let head = match timeout(HEAD_TIMEOUT, read_head(&mut stream)).await {
        Ok(head) => head?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    if let Some(text) = notice_text(&head) {
        let status = match policy.take_notice(user.addr, text) {
            true => StatusCode::NO_CONTENT,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        return answer(&mut stream, status).await;
    }
    match requested_addr(&head) {
        Some(addr) => serve_tunnel(stream, addr, user, cfg, policy).await,
        None => answer(&mut stream, StatusCode::BAD_REQUEST).await,
    }
}

async fn serve_tunnel(
    mut stream: TcpStream,
    addr: SocketAddr,
    user: &TunnelUser,
    cfg: &TunnelServerConfig,
    policy: &dyn TunnelPolicy,
) -> io::Result<()> {
    let may_open = || !user.is_full && policy.may_open(user.addr, addr);
    if !may_open() {
        return answer(&mut stream, StatusCode::SERVICE_UNAVAILABLE).await;
    }
    let connected = timeout(UPSTREAM_TIMEOUT, connect_stream(cfg.addr.ip(), addr)).await;
    policy.record_connect(addr, matches!(connected, Ok(Ok(_))));
    let Ok(Ok(upstream)) = connected else {
        return answer(&mut stream, StatusCode::BAD_GATEWAY).await;
    };
    // Looked at again after the wait. From here on the user is among those that are told.
    if !may_open() {
        return answer(&mut stream, StatusCode::SERVICE_UNAVAILABLE).await;
    }
    user.tunnel.record_ends(user.addr, addr);
    let _ = upstream.set_nodelay(true);
    set_user_timeout(&upstream, cfg.user_timeout);
    answer(&mut stream, StatusCode::OK).await?;
    join(stream, upstream).await
}

/// Passes bytes on in both directions until one side closes or breaks off.
async fn join(stream: TcpStream, upstream: TcpStream) -> io::Result<()> {
    // From now on, whatever closes the connection without a shutdown resets it, the end of this
    // process included.
    stream.set_zero_linger()?;
    let (mut stream_in, mut stream_out) = stream.into_split();
    let (mut upstream_in, mut upstream_out) = upstream.into_split();
    {
        let requests = std::pin::pin!(async {
            copy(&mut stream_in, &mut upstream_out).await?;
            upstream_out.shutdown().await
        });
        let answers = std::pin::pin!(copy(&mut upstream_in, &mut stream_out));
        match select(answers, requests).await {
            // A reset is reported once. If the request's bytes took it, the answer seems to end.
            Either::Left((Ok(()), requests)) => {
                if let Some(Err(e)) = requests.now_or_never() {
                    return Err(e);
                }
            }
            Either::Left((Err(e), _)) | Either::Right((Err(e), _)) => return Err(e),
            // The caller has left, or ended its half. What the upstream still says is passed on.
            Either::Right((Ok(()), answers)) => match timeout(HALF_CLOSED_TIME, answers).await {
                Ok(passed_on) => passed_on?,
                Err(_) => return Ok(()),
            },
        }
    }
    stream_out.shutdown().await?;
    // Closing earlier would reset what the other side has not read yet.
    let _ = timeout(CLOSE_TIMEOUT, discard(&mut stream_in, usize::MAX)).await;
    Ok(())
}

async fn copy(from: &mut TcpStream, to: &mut TcpStream) -> io::Result<()> {
    let mut buf = Vec::with_capacity(BUFFER_BYTES);
    let mut turn = Turn::default();
    loop {
        let BufResult(read, bytes) = from.read(buf).await;
        match read? {
            0 => return Ok(()),
            len => turn.pass(len).await,
        }
        let BufResult(written, bytes) = to.write_all(bytes).await;
        written?;
        buf = bytes;
        buf.clear();
    }
}

/// Opens a tunnel to the upstream at `addr`, within `time_limit`.
pub(crate) async fn open_tunnel(
    source: IpAddr,
    peer: SocketAddr,
    addr: SocketAddr,
    time_limit: Duration,
) -> Result<TcpStream, TunnelError> {
    let opened = timeout(time_limit, request_tunnel(source, peer, addr)).await;
    let Ok(Ok((stream, status))) = opened else {
        return Err(TunnelError::PeerSilent);
    };
    match status {
        StatusCode::OK => Ok(stream),
        StatusCode::BAD_GATEWAY => Err(TunnelError::UpstreamUnreachable),
        _ => Err(TunnelError::PeerRefuses),
    }
}

async fn request_tunnel(
    source: IpAddr,
    peer: SocketAddr,
    addr: SocketAddr,
) -> io::Result<(TcpStream, StatusCode)> {
    let mut stream = connect_stream(source, peer).await?;
    let _ = stream.set_nodelay(true);
    let head = format!("CONNECT {addr} HTTP/1.1\r\nHost: {addr}\r\n\r\n");
    let BufResult(written, _) = stream.write_all(head.into_bytes()).await;
    written?;
    let status = read_status(&mut stream).await?;
    Ok((stream, status))
}

/// Reads the head of an answer.
pub(crate) async fn read_status(stream: &mut TcpStream) -> io::Result<StatusCode> {
    let head = read_head(stream).await?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let is_read = response
        .parse(&head)
        .is_ok_and(|parsed| parsed.is_complete());
    let status = response.code.filter(|_| is_read);
    let status = status.and_then(|code| StatusCode::from_u16(code).ok());
    status.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

async fn answer(stream: &mut TcpStream, status: StatusCode) -> io::Result<()> {
    let head = format!("HTTP/1.1 {} -\r\n\r\n", status.as_u16());
    let BufResult(written, _) = stream.write_all(head.into_bytes()).await;
    written.map(|_| ())
}

/// Reads up to the empty line that ends a head. Nothing follows it before the other side has read
/// an answer.
async fn read_head(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut head = Vec::with_capacity(MAX_HEAD_BYTES);
    loop {
        let BufResult(read, bytes) = stream.read(Vec::with_capacity(MAX_HEAD_BYTES)).await;
        if read? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        head.extend_from_slice(&bytes);
        if head.ends_with(b"\r\n\r\n") {
            return Ok(head);
        }
        if MAX_HEAD_BYTES < head.len() {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}

fn requested_addr(head: &[u8]) -> Option<SocketAddr> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let is_read = request.parse(head).is_ok_and(|parsed| parsed.is_complete());
    let is_connect = is_read && request.method == Some("CONNECT");
    request.path.filter(|_| is_connect)?.parse().ok()
}

/// Has the connection fail once sent data was not acknowledged for this long.
pub(crate) fn set_user_timeout(stream: &TcpStream, user_timeout: Duration) {
    let socket = socket2::SockRef::from(stream);
    if let Err(e) = socket.set_tcp_user_timeout(Some(user_timeout)) {
        log::warn!("a connection stays without a limit for acknowledgements: {e}");
    }
}
