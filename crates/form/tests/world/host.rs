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
use fleet::HostStatus;
use fleet::Place;
use fleet::PlaceState;
use fleet::ReportedPlace;

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
    /// Since when the replica stands still, because the head host lacks one of its hosts.
    pub stalled_since: Option<Time>,
}

impl Membership {
    /// Whether the head host of the replica serves, will soon, or stands still.
    pub fn serves(&self) -> bool {
        self.state == PlaceState::Open || self.opens_at.is_some()
    }
}

/// How the hosts of a replica and the processes of the deployment reach a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Partition {
    /// Everyone reaches the host.
    #[default]
    None,
    /// Only entry hosts and other hosts reach it.
    FromController,
    /// Only other hosts reach it.
    FromDeployment,
    /// Everyone but the other hosts of its replica reaches it.
    FromHosts,
}

#[derive(Clone, Debug)]
pub struct Host {
    pub id: UpstreamId,
    pub domain: String,
    pub incarnation: u64,
    pub sequence: u64,
    pub is_up: bool,
    /// Who doesn't reach the host, though it runs.
    pub partition: Partition,
    /// The host's announcements go to a control host that the leader doesn't hear from. Orders
    /// and probes reach it.
    pub is_heard_elsewhere: bool,
    /// Orders and probes of the leader don't reach the host, but its announcements come.
    pub is_out_of_reach: bool,
    /// What the leader hears instead of the host's present state: the control host that takes
    /// the announcements missed a change, and passes on that nothing has changed since.
    pub repeated_announcement: Option<Announcement>,
    pub last_announcement: Option<Announcement>,
    /// The last announcement before the host joined its replica.
    pub announced_before_join: Option<Announcement>,
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

impl Host {
    /// Whether neither announcements, orders nor probes pass between the host and the controller.
    pub fn is_cut_from_controller(&self) -> bool {
        matches!(
            self.partition,
            Partition::FromController | Partition::FromDeployment
        )
    }

    /// Whether an entry host reaches the host.
    pub fn is_reached_by_entry_hosts(&self) -> bool {
        self.is_up && self.partition != Partition::FromDeployment
    }
}

/// The announcement of a host that the leader hears now.
pub fn heard_announcement(host: &Host) -> Announcement {
    match &host.repeated_announcement {
        Some(repeated) => Announcement {
            sequence: host.sequence,
            ..repeated.clone()
        },
        None => announcement(host),
    }
}

/// What a host reports when it is asked.
pub fn status(host: &Host) -> HostStatus {
    HostStatus {
        incarnation: Some(Incarnation(host.incarnation)),
        begun_orders: host.begun_orders,
        place: match &host.membership {
            Some(membership) => ReportedPlace::In(membership.epoch),
            None => ReportedPlace::Unnamed,
        },
    }
}

/// The announcement that a host sends now.
fn announcement(host: &Host) -> Announcement {
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
