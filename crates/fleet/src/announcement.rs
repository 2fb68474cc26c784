//! The announcements that upstream processes send about themselves.

use std::net::SocketAddr;
use std::time::Duration;

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

/// The state of a host in its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PlaceState {
    /// The host loads its part of the model or warms up.
    Joining,
    /// The host holds its part of the model.
    Ready,
    /// The replica serves. Only its head host reports this state.
    Open,
    /// The host finishes the requests that it has.
    Closing,
    /// The host stalled for too long and takes no more requests.
    Broken,
}

impl PlaceState {
    /// Whether a head host in this state may be running requests.
    pub fn may_serve(self) -> bool {
        matches!(self, Self::Open | Self::Closing)
    }
}

/// A host's place in a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// The replica.
    pub replica: ReplicaName,
    /// The epoch of the join that formed the replica. A later join has a larger one.
    pub epoch: Fence,
    /// The host's rank in the replica. Requests go to rank 0, the head host.
    pub rank: u32,
    /// The host's state in the replica.
    pub state: PlaceState,
}

/// The part of an announcement that only hosts of model engines send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The host's fabric domain, if it reports one.
    pub domain: Option<DomainName>,
    /// The models that the host keeps staged.
    pub staged: Vec<ModelName>,
    /// The host's place in a replica.
    pub place: Option<Place>,
}

/// What a process of an upstream reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The process's id, the same in all its incarnations.
    pub id: UpstreamId,
    /// The process's incarnation. A restart under the same id has a larger one.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Counts the announcements of this incarnation.
    pub sequence: u64,
    /// The service that the process belongs to.
    pub service: ServiceName,
    /// Where the process takes requests and orders.
    pub addr: SocketAddr,
    /// The data centre of the process.
    pub centre: CentreName,
    /// How many requests the process runs concurrently.
    pub slots: u32,
    /// Whether the process finishes its requests and takes no more.
    pub leaving: bool,
    /// How much longer the process is slow because it started recently.
    pub cold_left: Duration,
    /// Its report as a host of a model engine, if it is one.
    pub engine: Option<EngineReport>,
}

impl Announcement {
    /// The host's place in a replica.
    pub fn place(&self) -> Option<&Place> {
        self.engine.as_ref()?.place.as_ref()
    }

    /// Whether the announcement equals another one, apart from the sequence number and the
    /// time for which the process is still slow.
    pub fn has_same_state(&self, other: &Self) -> bool {
        let Self {
            id,
            incarnation,
            sequence: _,
            service,
            addr,
            centre,
            slots,
            leaving,
            cold_left: _,
            engine,
        } = self;
        *id == other.id
            && *incarnation == other.incarnation
            && *service == other.service
            && *addr == other.addr
            && *centre == other.centre
            && *slots == other.slots
            && *leaving == other.leaving
            && *engine == other.engine
    }
}
