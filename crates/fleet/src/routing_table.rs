//! The controller's table of the model replicas that requests may be sent to.

use serde::Deserialize;
use serde::Serialize;

use base::Fence;
use base::Incarnation;
use base::ModelName;
use base::ReplicaName;
use base::ServiceName;
use base::UpstreamId;

/// The version of a routing table. The tables of a later controller have a later edition than
/// those of all earlier controllers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Edition {
    /// The term of the controller that issued the table.
    pub term: u64,
    /// Counts the tables of the term.
    pub count: u64,
}

/// Whether a replica takes new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Intake {
    /// New requests may be sent to it.
    #[default]
    Open,
    /// It finishes the requests that it has.
    Draining,
}

impl Intake {
    fn is_open(&self) -> bool {
        *self == Self::Open
    }
}

/// A replica that runs requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingReplica {
    /// The replica.
    pub replica: ReplicaName,
    /// The epoch of the join that formed the replica.
    pub epoch: Fence,
    /// The service that the replica belongs to.
    pub service: ServiceName,
    /// The model that the replica serves.
    pub model: ModelName,
    /// The head host, which takes the requests.
    pub head: UpstreamId,
    /// The incarnation of the head host.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Whether it takes new requests.
    #[serde(default, skip_serializing_if = "Intake::is_open")]
    pub intake: Intake,
}

/// All replicas that run requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// The version of this table.
    pub edition: Edition,
    /// The replicas.
    pub serving: Vec<ServingReplica>,
}
