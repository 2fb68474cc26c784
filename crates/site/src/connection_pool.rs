//! A pool of idle connections to upstreams.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use base::Time;
use forward::TargetId;
use net::Connection;
use net::SendError;
use net::TunnelError;
use quorum::clock;

/// The longest time a connection is kept idle, and the time if its upstream names none.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// How long an upstream may leave sent data unacknowledged. Its system acknowledges at once, also
/// while the upstream is silent; three packets in a row must be lost to reach this otherwise.
pub(crate) const USER_TIMEOUT: Duration = Duration::from_millis(700);

/// Idle connections kept per upstream process.
const MAX_IDLE_PER_TARGET: usize = 24;

/// An idle connection in the pool.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires_at: Time,
}

/// Idle connections to upstreams, kept for later requests.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    /// The address of this process, from which connections are made.
    source: IpAddr,
    idle: RefCell<BTreeMap<TargetId, Vec<Idle>>>,
}

impl ConnectionPool {
    /// Creates an empty pool of a process at the address `source`.
    pub fn new(source: Ipv4Addr) -> Self {
        Self {
            source: source.into(),
            idle: RefCell::default(),
        }
    }

    /// Takes the most recently used idle connection to an upstream process.
    pub fn take_idle(&self, id: &TargetId) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(id)?;
        let now = clock::now();
        while let Some(last) = connections.pop() {
            if now < last.expires_at && last.connection.is_idle() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Opens a new connection. It isn't in the pool until it is put back.
    pub async fn connect(
        &self,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, SendError> {
        Connection::connect_from(self.source, addr, timeout, USER_TIMEOUT).await
    }

    /// Opens a new connection through another entry host, which takes them at `peer`.
    pub async fn connect_through(
        &self,
        peer: SocketAddr,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, TunnelError> {
        Connection::connect_through(self.source, peer, addr, timeout, USER_TIMEOUT).await
    }

    /// Closes the idle connections for which `is_closed` holds.
    pub fn close_idle(&self, is_closed: impl Fn(&TargetId, &Connection) -> bool) {
        self.idle.borrow_mut().retain(|id, connections| {
            connections.retain(|idle| !is_closed(id, &idle.connection));
            !connections.is_empty()
        });
    }

    /// Keeps a connection for a later request, for three quarters of the idle time that its
    /// upstream allows (`keep_alive`).
    pub fn put_back(&self, id: &TargetId, connection: Connection, keep_alive: Option<Duration>) {
        let keep_alive = keep_alive.map_or(MAX_IDLE_TIME, |keep_alive| {
            keep_alive.min(MAX_IDLE_TIME * 2) * 3 / 4
        });
        let keep_alive = keep_alive.min(MAX_IDLE_TIME);
        if keep_alive.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(id.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            let expires_at = clock::now() + keep_alive;
            connections.push(Idle {
                connection,
                expires_at,
            });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now < idle.expires_at);
            !connections.is_empty()
        });
    }
}
