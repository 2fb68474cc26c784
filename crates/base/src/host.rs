//! What hosts of model engines and plain services announce of themselves.

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

/// Whether an engine refuses orders that carry an old fencing number.
///
/// An engine that says nothing is taken as [`Fencing::Ignored`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Takes any order, however old.
    #[default]
    Ignored,
    /// Refuses old orders.
    Checked,
}

/// A host's place in a replica.
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

/// What a host is doing, as it says itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Duty {
    /// Belongs to no replica.
    #[default]
    Idle,
    /// Is loading weights for a replica.
    Loading(Assignment),
    /// Holds its part of a replica, ready to serve.
    Ready(Assignment),
}

impl Duty {
    /// The assignment, if there is one.
    pub fn assignment(&self) -> Option<&Assignment> {
        match self {
            Self::Idle => None,
            Self::Loading(assignment) | Self::Ready(assignment) => Some(assignment),
        }
    }
}

/// An engine's load, as it was when the host reported it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Prompt tokens accepted and not yet prefilled.
    pub prefill: TokenCount,
    /// Requests that fit in the batch.
    pub slots: u32,
    /// Prompt tokens prefilled a second.
    pub prefill_rate: TokenRate,
    /// Tokens generated a second by each running request at the present batch.
    pub token_rate: TokenRate,
}

/// The announcement of one host of a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// The host.
    pub host: HostId,
    /// Its process's life. A restarted engine has forgotten its assignment.
    pub incarnation: Incarnation,
    /// Counts the reports of this life.
    pub sequence: u64,
    /// Its data centre.
    pub centre: CentreId,
    /// Its fabric domain.
    pub domain: DomainId,
    /// Where its engine takes requests and orders.
    pub addr: SocketAddr,
    /// Whether it refuses old orders.
    #[serde(default)]
    pub fencing: Fencing,
    /// The largest fencing number it has seen.
    #[serde(default)]
    pub fence: Fence,
    /// What it is doing.
    pub duty: Duty,
    /// Its load.
    #[serde(default)]
    pub load: Load,
    /// True once it is about to leave: it finishes its work and takes no more.
    #[serde(default)]
    pub leaving: bool,
}

/// The announcement of one plain service's process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceName,
    /// Its process's life.
    pub incarnation: Incarnation,
    /// Counts the reports of this life.
    pub sequence: u64,
    /// Its data centre.
    pub centre: CentreId,
    /// Where it takes calls.
    pub addr: SocketAddr,
    /// True once it is about to leave.
    #[serde(default)]
    pub leaving: bool,
}
