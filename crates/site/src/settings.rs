//! The settings of a process.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::control::ControlSettings;
use crate::entry::EntrySettings;
use base::ByteSize;
use base::CentreName;
use base::NodeId;
use memory::Machine;

/// The default of how long a process may take to stop.
pub const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// The default time within which a removed key must stop being accepted.
pub const DEFAULT_REVOKE_WITHIN: Duration = Duration::from_secs(5);

/// The default time after which a stalled engine gives up its replica.
pub const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(4);

/// The default of what the process may use.
pub const DEFAULT_MACHINE: Machine = Machine {
    memory: ByteSize(256 * 1024 * 1024),
    descriptors: 4_096,
};

/// The settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The process's name in logs.
    pub name: String,
    /// The process's data centre.
    pub centre: CentreName,
    /// The process's address.
    pub ip: Ipv4Addr,
    /// The port on which every process listens for calls from the others.
    pub internal_port: u16,
    /// The control hosts known when the settings were written.
    pub seeds: Vec<NodeId>,
    /// The settings of the control host, if the process is one.
    pub control: Option<ControlSettings>,
    /// The settings of the entry host, if the process is one.
    pub entry: Option<EntrySettings>,
    /// The address at which the metrics are served.
    pub metrics_addr: SocketAddr,
    /// How long the process may take to stop.
    pub stop_timeout: Duration,
    /// The memory and the descriptors that the process may use.
    pub machine: Machine,
}

impl Settings {
    /// The process's id.
    pub fn node_id(&self) -> NodeId {
        node_at(self.ip)
    }

    /// The address at which another process takes internal calls.
    pub fn internal_addr(&self, node: NodeId) -> SocketAddr {
        let ip = Ipv4Addr::from(node.0);
        SocketAddr::new(IpAddr::V4(ip), self.internal_port)
    }
}

/// The id of the process at an address.
pub fn node_at(ip: Ipv4Addr) -> NodeId {
    NodeId(u32::from(ip))
}
