//! Connections to upstreams that are kept open between requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use base::Time;
use forward::TargetId;
use net::Connection;
use net::SendError;
use quorum::clock;

/// How long a connection is kept idle if its upstream names no time.
const IDLE: Duration = Duration::from_secs(4);

/// Idle connections that are kept to one upstream.
const KEPT: usize = 24;

/// A connection that was put back.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Time,
}

/// Connections to upstreams that are kept open between requests.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<BTreeMap<TargetId, Vec<Idle>>>,
}

impl Pool {
    /// A kept connection to an upstream, the one that was used last.
    pub fn take(&self, id: &TargetId) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(id)?;
        let now = clock::now();
        while let Some(last) = kept.pop() {
            if now < last.until && last.connection.is_idle() {
                return Some(last.connection);
            }
        }
        None
    }

    /// A new connection.
    pub async fn open(&self, addr: SocketAddr, span: Duration) -> Result<Connection, SendError> {
        Connection::connect(addr, span).await
    }

    /// Keeps a connection for the next request, for as long as its upstream allows.
    pub fn put(&self, id: &TargetId, connection: Connection, keep: Option<Duration>) {
        let keep = keep.map_or(IDLE, |keep| (keep * 3 / 4).min(IDLE));
        if keep.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(id.clone()).or_default();
        if kept.len() < KEPT {
            let until = clock::now() + keep;
            kept.push(Idle { connection, until });
        }
    }

    /// Closes what has been idle for too long.
    pub fn expire(&self) {
        let now = clock::now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| now < idle.until);
            !kept.is_empty()
        });
    }
}
