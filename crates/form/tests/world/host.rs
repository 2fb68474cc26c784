//! One host of an engine, and what it says.

use std::time::Duration;

use base::Fence;
use base::Incarnation;
use base::ModelName;
use base::ReplicaName;
use base::Time;
use base::UpstreamId;
use fleet::Announcement;
use fleet::EngineReport;
use fleet::Place;
use fleet::PlaceState;

#[derive(Clone, Debug)]
pub struct Part {
    pub name: ReplicaName,
    pub epoch: Fence,
    pub hosts: Vec<UpstreamId>,
    pub state: PlaceState,
    /// When the join ends.
    pub until: Time,
    /// When an order to open takes effect.
    pub opening: Option<Time>,
}

#[derive(Clone, Debug)]
pub struct Host {
    pub id: UpstreamId,
    pub domain: String,
    pub life: u64,
    pub sequence: u64,
    pub up: bool,
    /// Cut off from the controller, though it lives.
    pub cut: bool,
    pub leaving: bool,
    /// It said that it is gone, and finishes what it has.
    pub gone: bool,
    pub staged: Option<ModelName>,
    pub loading: Option<(ModelName, Time)>,
    pub warm: Option<ModelName>,
    pub seen_epoch: Fence,
    pub part: Option<Part>,
    pub model: Option<ModelName>,
    /// Orders that it has begun.
    pub begun: u64,
    pub next_beat: Time,
    pub changed: bool,
}

/// What a host says of itself.
pub fn announcement(host: &Host) -> Announcement {
    let rank = |part: &Part| part.hosts.iter().position(|id| *id == host.id).unwrap_or(0);
    Announcement {
        id: host.id.clone(),
        incarnation: Incarnation(host.life),
        sequence: host.sequence,
        service: "lm".parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        centre: "c0".parse().unwrap(),
        slots: 17,
        leaving: host.leaving,
        cold_left: Duration::ZERO,
        engine: Some(EngineReport {
            domain: Some(host.domain.parse().unwrap()),
            staged: host.staged.iter().cloned().collect(),
            place: host.part.as_ref().map(|part| Place {
                replica: part.name.clone(),
                epoch: part.epoch,
                rank: rank(part) as u32,
                state: part.state,
            }),
        }),
    }
}
