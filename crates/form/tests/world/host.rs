//! A simulated host of an engine, and its announcements.

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

/// A host's membership in a replica.
#[derive(Clone, Debug)]
pub struct Membership {
    pub replica: ReplicaName,
    pub epoch: Fence,
    pub hosts: Vec<UpstreamId>,
    pub state: PlaceState,
    /// When the host has joined.
    pub ready_at: Time,
    /// When a pending order to open takes effect.
    pub opens_at: Option<Time>,
}

#[derive(Clone, Debug)]
pub struct Host {
    pub id: UpstreamId,
    pub domain: String,
    pub incarnation: u64,
    pub sequence: u64,
    pub is_up: bool,
    /// The host runs but cannot reach the controller.
    pub is_cut_off: bool,
    /// The host's announcements go to a control host that the leader doesn't hear from. Orders
    /// and probes reach it.
    pub is_heard_elsewhere: bool,
    pub leaving: bool,
    /// The host announced its departure and still runs.
    pub has_departed: bool,
    pub staged: Option<ModelName>,
    pub staging: Option<(ModelName, Time)>,
    pub warm_model: Option<ModelName>,
    pub highest_epoch: Fence,
    pub membership: Option<Membership>,
    pub joined_model: Option<ModelName>,
    /// How many orders the host has begun.
    pub begun_orders: u64,
    pub next_announcement: Time,
    pub must_announce: bool,
}

/// The announcement that a host sends now.
pub fn announcement(host: &Host) -> Announcement {
    let rank = |membership: &Membership| {
        membership
            .hosts
            .iter()
            .position(|id| *id == host.id)
            .unwrap_or(0)
    };
    Announcement {
        id: host.id.clone(),
        incarnation: Incarnation(host.incarnation),
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
            place: host.membership.as_ref().map(|membership| Place {
                replica: membership.replica.clone(),
                epoch: membership.epoch,
                rank: rank(membership) as u32,
                state: membership.state,
            }),
        }),
    }
}
