//! Which replicas of models may be sent to, as the controller says.

use serde::Deserialize;
use serde::Serialize;

use base::Fence;
use base::Incarnation;
use base::ModelName;
use base::ReplicaName;
use base::ServiceName;
use base::UpstreamId;

/// Orders all directions that were ever given: a later controller's come after those
/// of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Edition {
    /// The controller's term.
    pub term: u64,
    /// Counts its directions.
    pub count: u64,
}

/// A replica that requests may be sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingReplica {
    /// The replica.
    pub replica: ReplicaName,
    /// The number of the order that made it.
    pub epoch: Fence,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its model.
    pub model: ModelName,
    /// Its first host, which takes the requests.
    pub head: UpstreamId,
    /// The life of the first host.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// All replicas that requests may be sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// Which ones these are.
    pub edition: Edition,
    /// The replicas.
    pub serving: Vec<ServingReplica>,
}
