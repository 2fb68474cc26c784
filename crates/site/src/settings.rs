//! What a process is told when it starts.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::control::ControlSettings;
use crate::entry::EntrySettings;
use base::CentreName;
use base::NodeId;

/// How long a process may take to stop, where nothing is set.
pub const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// A key that was taken away must stop to count within this time, where nothing is set.
pub const DEFAULT_REVOKE_WITHIN: Duration = Duration::from_secs(5);

/// How long engines stand still before they give up a replica, where nothing is set.
pub const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(4);

/// What a process is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name in logs.
    pub name: String,
    /// Its data centre.
    pub centre: CentreName,
    /// Its address.
    pub ip: Ipv4Addr,
    /// The port of all processes for each other.
    pub internal_port: u16,
    /// Control hosts that were there when the settings were written.
    pub seeds: Vec<NodeId>,
    /// What it is told as a control host, if it is one.
    pub control: Option<ControlSettings>,
    /// What it is told as an entry host, if it is one.
    pub entry: Option<EntrySettings>,
    /// Where it shows its metrics.
    pub metrics_addr: SocketAddr,
    /// How long it may take to stop.
    pub stop_timeout: Duration,
}

impl Settings {
    /// The process, named by its address.
    pub fn node_id(&self) -> NodeId {
        node_at(self.ip)
    }

    /// Where another process is reached.
    pub fn internal_addr(&self, node: NodeId) -> SocketAddr {
        let ip = Ipv4Addr::from(node.0);
        SocketAddr::new(IpAddr::V4(ip), self.internal_port)
    }
}

/// The process at an address.
pub fn node_at(ip: Ipv4Addr) -> NodeId {
    NodeId(u32::from(ip))
}
