//! Records of the replicas that serve, kept in the replicated state.
//!
//! A controller records a replica before it orders the head host to open it, and removes the
//! record only once the replica has ended. So the next controller knows every replica that may
//! be open, whether or not it hears its hosts.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use base::CentreName;
use base::DomainName;
use base::Fence;
use base::Incarnation;
use base::ModelName;
use base::ReplicaName;
use base::ServiceName;
use base::UpstreamId;

/// A host of a recorded replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedHost {
    /// The host.
    pub id: UpstreamId,
    /// The incarnation of the host that joined the replica.
    pub incarnation: Incarnation,
    /// Where the host takes orders.
    pub addr: SocketAddr,
}

/// What a controller meant to do with a recorded replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedPhase {
    /// It is to serve requests.
    Serving,
    /// Its head host is to leave it.
    Closing,
    /// It broke after other hosts had left it. If the head host comes back, it is to leave.
    GivenUp,
}

/// A replica that may be open. Each of its hosts was ready in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// The replica.
    pub replica: ReplicaName,
    /// The epoch of the join that formed the replica.
    pub epoch: Fence,
    /// The service that the replica belongs to.
    pub service: ServiceName,
    /// The model that the replica serves.
    pub model: ModelName,
    /// The data centre of the hosts.
    pub centre: CentreName,
    /// The fabric domain of the hosts, if they report one.
    pub domain: Option<DomainName>,
    /// What is to become of it.
    pub phase: RecordedPhase,
    /// The hosts by rank, the head host first.
    pub hosts: Vec<RecordedHost>,
}

/// Changes of the recorded replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordChanges {
    /// Replicas that may open from now on, or whose record has changed.
    pub recorded: Vec<ReplicaRecord>,
    /// Replicas that have ended.
    pub ended: Vec<Fence>,
}

impl RecordChanges {
    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.recorded.is_empty() && self.ended.is_empty()
    }
}
