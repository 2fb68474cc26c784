//! The reports with which hosts of model engines and plain services announce themselves.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::CentreId;
use crate::DomainId;
use crate::Fence;
use crate::HostId;
use crate::Incarnation;
use crate::ModelName;
use crate::ReplicaId;
use crate::ServiceName;
use crate::TokenCount;
use crate::TokenRate;

/// Whether an engine checks the fencing number of orders.
///
/// An engine that doesn't report it counts as [`Fencing::Ignored`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The engine takes any order, even one with an old fencing number.
    #[default]
    Ignored,
    /// The engine refuses orders with an old fencing number.
    Checked,
}

/// The assignment of a host to a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Assignment {
    /// The replica.
    pub replica: ReplicaId,
    /// The fencing number of the order that made the assignment.
    pub fence: Fence,
    /// The model that the replica serves.
    pub model: ModelName,
    /// All hosts of the replica in the order of their ranks. Requests go to the first.
    pub hosts: Vec<HostId>,
}

/// What a host does for a replica, as it reports itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Duty {
    /// The host belongs to no replica.
    #[default]
    Idle,
    /// The host is loading the weights of a replica.
    Loading(Assignment),
    /// The host holds its part of a replica and is ready to serve.
    Ready(Assignment),
}

impl Duty {
    /// The host's assignment, if it belongs to a replica.
    pub fn assignment(&self) -> Option<&Assignment> {
        match self {
            Self::Idle => None,
            Self::Loading(assignment) | Self::Ready(assignment) => Some(assignment),
        }
    }
}

/// The load of an engine when its host made the report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests in the batch.
    pub running: u32,
    /// The number of requests that wait for a slot in the batch.
    pub waiting: u32,
    /// Prompt tokens that are accepted but not yet prefilled.
    pub prefill: TokenCount,
    /// The number of requests that fit into the batch.
    pub slots: u32,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: TokenRate,
    /// Tokens per second of each running request at the current batch size.
    pub token_rate: TokenRate,
}

/// The report of one host of a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// The id of the host.
    pub host: HostId,
    /// The incarnation of the host's process. A restarted engine has no assignment.
    pub incarnation: Incarnation,
    /// The number of the report within the incarnation.
    pub sequence: u64,
    /// The data centre of the host.
    pub centre: CentreId,
    /// The fabric domain of the host.
    pub domain: DomainId,
    /// The address at which the engine takes requests and orders.
    pub addr: SocketAddr,
    /// Whether the engine checks the fencing number of orders.
    #[serde(default)]
    pub fencing: Fencing,
    /// The largest fencing number that the host has seen.
    #[serde(default)]
    pub fence: Fence,
    /// What the host does.
    pub duty: Duty,
    /// The load of its engine.
    #[serde(default)]
    pub load: Load,
    /// Whether the host is about to leave: it finishes its requests and takes no more.
    #[serde(default)]
    pub leaving: bool,
}

/// The report of one process of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The name of the service.
    pub service: ServiceName,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The number of the report within the incarnation.
    pub sequence: u64,
    /// The data centre of the process.
    pub centre: CentreId,
    /// The address at which the process takes calls.
    pub addr: SocketAddr,
    /// Whether the process is about to leave.
    #[serde(default)]
    pub leaving: bool,
}
