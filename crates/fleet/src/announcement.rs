//! What an upstream's process says of itself.

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

/// How far a host is in its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PlaceState {
    /// Loads or warms up.
    Joining,
    /// Holds its part.
    Ready,
    /// Serves. Only the first host of a replica says so.
    Open,
    /// Finishes what it has.
    Closing,
    /// Stood still for too long and takes nothing more.
    Broken,
}

impl PlaceState {
    /// Whether a first host in this state may have requests.
    pub fn may_serve(self) -> bool {
        matches!(self, Self::Open | Self::Closing)
    }
}

/// A host's place in a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// The replica.
    pub replica: ReplicaName,
    /// The number of the order that made it.
    pub epoch: Fence,
    /// Its rank among the hosts. Requests go to rank zero.
    pub rank: u32,
    /// How far it is.
    pub state: PlaceState,
}

/// What a host of a model engine says beside the rest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Its fabric domain, if it said one.
    pub domain: Option<DomainName>,
    /// The models that it keeps staged.
    pub staged: Vec<ModelName>,
    /// Its place in a replica.
    pub place: Option<Place>,
}

/// What one process of an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The process.
    pub id: UpstreamId,
    /// Its life. A restart under the same id takes a larger one.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Counts what it said in this life.
    pub sequence: u64,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it takes requests and orders.
    pub addr: SocketAddr,
    /// Its data centre.
    pub centre: CentreName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It finishes its work and takes no more.
    pub leaving: bool,
    /// How much longer it stays slow after its start.
    pub cold_left: Duration,
    /// What it says as a host of a model engine.
    pub engine: Option<EngineReport>,
}

impl Announcement {
    /// Its place in a replica.
    pub fn place(&self) -> Option<&Place> {
        self.engine.as_ref()?.place.as_ref()
    }

    /// Whether it says the same as another one, but for its number.
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
