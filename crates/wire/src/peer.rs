//! Calls that the system's nodes make to each other.

use serde::Deserialize;
use serde::Serialize;

use base::HostReport;
use base::NodeId;
use base::ServiceReport;

use crate::Call;

/// What a node heard from upstreams since it last told its neighbours.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relay {
    /// The node that heard it.
    pub from: NodeId,
    /// Announcements of hosts.
    pub hosts: Vec<HostReport>,
    /// Announcements of services.
    pub services: Vec<ServiceReport>,
}

/// A message was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {}

impl Call for Relay {
    const METHOD: &'static str = "relay";
    type Reply = Taken;
}
