//! The tunnels that lead through a process.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;

/// The tunnels that lead through this process now.
#[derive(Clone, Debug, Default)]
pub struct OpenTunnels(Rc<Tunnels>);

#[derive(Debug, Default)]
struct Tunnels {
    /// Those that are open or being opened.
    count: Cell<usize>,
    /// Who opened each of them, and to which upstream.
    ends: RefCell<BTreeMap<u64, (IpAddr, SocketAddr)>>,
    last_key: Cell<u64>,
}

/// Counts a tunnel as open until it is dropped.
pub(crate) struct OpenTunnel {
    tunnels: Rc<Tunnels>,
    key: u64,
}

impl OpenTunnels {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.count.get()
    }

    /// The processes that have a tunnel to the upstream at `addr`.
    pub fn users_of(&self, addr: SocketAddr) -> BTreeSet<IpAddr> {
        let ends = self.0.ends.borrow();
        let to_upstream = ends.values().filter(|(_, upstream)| *upstream == addr);
        to_upstream.map(|(user, _)| *user).collect()
    }

    pub(crate) fn add(&self) -> OpenTunnel {
        let tunnels = Rc::clone(&self.0);
        tunnels.count.set(tunnels.count.get() + 1);
        let key = tunnels.last_key.get() + 1;
        tunnels.last_key.set(key);
        OpenTunnel { tunnels, key }
    }
}

impl OpenTunnel {
    /// Records who opened the tunnel, and to which upstream.
    pub(crate) fn record_ends(&self, user: IpAddr, upstream: SocketAddr) {
        let mut ends = self.tunnels.ends.borrow_mut();
        ends.insert(self.key, (user, upstream));
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.tunnels.count.set(self.tunnels.count.get() - 1);
        self.tunnels.ends.borrow_mut().remove(&self.key);
    }
}
