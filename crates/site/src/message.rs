//! The messages between the processes of a deployment.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use allot::LimitReport;
use allot::ShareList;
use base::Fence;
use base::Incarnation;
use base::NodeId;
use base::ReplicaName;
use base::UpstreamId;
use base::Version;
use fleet::AskedRest;
use fleet::CompressedText;
use fleet::DeparturesHeld;
use fleet::Edition;
use fleet::EntryList;
use fleet::EntryReport;
use fleet::Heartbeat;
use fleet::RestList;
use fleet::Revision;
use fleet::RosterChange;
use fleet::RoutingTable;
use forward::LoadReport;
use quarantine::Evidence;
use quarantine::NoticeList;
use vote::Release;
use wire::Call;

/// A head host that the leader cannot reach and that is to leave its replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableHead {
    /// The head host's id.
    pub host: UpstreamId,
    /// The address at which the head host takes orders.
    pub addr: SocketAddr,
    /// The replica that the head host is to leave.
    pub replica: ReplicaName,
    /// The fencing number of the replica.
    pub epoch: Fence,
}

/// A configuration as its operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigText {
    pub version: Version,
    /// The compressed text of the configuration.
    pub text: CompressedText,
}

/// The kind of process that sends a [`Watch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Watcher {
    /// An entry host. Any control host answers it.
    Entry,
    /// A control host. Only the leader answers it.
    Control,
}

/// Asks a control host for everything newer than what the sender knows. The reply comes at once
/// if something is newer, otherwise after a short time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// The process that asks.
    pub from: NodeId,
    /// The incarnation of the control host to which `revision` belongs.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The known revision of the control host's roster.
    pub revision: Revision,
    /// The known version of the configuration.
    pub version: Version,
    /// The known edition of the routing table.
    pub edition: Edition,
    /// The known edition of the notices.
    #[serde(default)]
    pub notices: Edition,
    /// The known edition of the shares of limits.
    #[serde(default)]
    pub shares: Edition,
    /// The known edition of the list of entry hosts.
    #[serde(default)]
    pub entries: Edition,
    /// The known edition of the list of rests.
    #[serde(default)]
    pub rests: Edition,
    /// The kind of process that asks.
    pub watcher: Watcher,
    /// Whether a control host reports the departures that it knows of to a new leader. Those of
    /// earlier releases don't.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reports_departures: bool,
    /// The load of the sender, or of the entry hosts that follow it. None if it was sent shortly
    /// before.
    #[serde(rename = "tally")]
    pub load_report: Option<LoadReport>,
}

/// What a control host knows that is newer than what the sender of a [`Watch`] knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchUpdate {
    /// The incarnation of the control host.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The revision of the control host's roster.
    pub revision: Revision,
    /// The changes of the roster since the known revision.
    pub changes: Vec<RosterChange>,
    /// The configuration, if it is newer.
    pub configuration: Option<ConfigText>,
    /// The routing table, if it is newer.
    #[serde(rename = "directions")]
    pub routing_table: Option<RoutingTable>,
    /// The notices of suspected and banned requests, if they are newer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub notices: Option<NoticeList>,
    /// The shares of the limits that upstreams name, if they are newer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shares: Option<ShareList>,
    /// The entry hosts, if the list is newer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<EntryList>,
    /// The rests that upstreams asked for, if the list is newer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rests: Option<RestList>,
    /// Head hosts that are to leave their replicas. An entry host that can reach one tells it.
    pub unreachable: Vec<UnreachableHead>,
    /// How long ago a majority last confirmed the configuration, if ever.
    pub confirmed_ago: Option<Duration>,
    /// All known control hosts.
    pub controls: Vec<NodeId>,
    /// The load of the entry hosts; for a control host, only of those that it did not report
    /// itself. None if it was sent shortly before.
    #[serde(rename = "tally")]
    pub load_report: Option<Rc<LoadReport>>,
}

/// The reply to a [`Watch`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WatchReply {
    #[serde(rename = "News")]
    Update(Box<WatchUpdate>),
    /// The asked control host does not lead.
    NotLeading {
        /// The control host that leads, if known.
        leader: Option<NodeId>,
    },
}

impl Call for Watch {
    const METHOD: &'static str = "watch";
    type Reply = WatchReply;
}

/// Reports what the sender observed to a control host, which passes it on to the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Observations {
    /// The control host that reports changes. None in earlier releases, and for an entry host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reporter: Option<NodeId>,
    /// New announcements and departures of upstream processes.
    pub changes: Vec<RosterChange>,
    /// How long ago the sender heard each of the changes, in milliseconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub heard_ms_ago: Vec<u64>,
    /// Announcements that only repeated an earlier one.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<Heartbeat>,
    /// Head hosts that stalled, as seen by entry hosts.
    #[serde(rename = "still")]
    pub stalled_heads: Vec<UpstreamId>,
    /// Replicas whose head host has left, as seen by entry hosts.
    #[serde(rename = "left")]
    pub left_replicas: Vec<Fence>,
    /// Replicas whose head host entry hosts tried to reach and could not. Only leaders of earlier
    /// releases use it.
    #[serde(rename = "unreached", default)]
    pub unreached_replicas: Vec<Fence>,
    /// What entry hosts saw and all others are to know.
    #[serde(default, skip_serializing_if = "FleetReport::is_empty")]
    pub fleet: FleetReport,
}

/// What entry hosts saw and all others are to know. The leader decides from it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetReport {
    /// What they saw of requests that broke.
    #[serde(default, skip_serializing_if = "Evidence::is_empty")]
    pub evidence: Evidence,
    /// What they know of the limits of upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitReport>,
    /// What they say of themselves, the latest last.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<EntryReport>,
    /// The rests that upstreams asked for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rests: Vec<AskedRest>,
}

impl FleetReport {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty()
            && self.limits.is_empty()
            && self.entries.is_empty()
            && self.rests.is_empty()
    }

    /// Adds what was reported later.
    pub fn add(&mut self, other: Self) {
        self.evidence.add(other.evidence);
        self.limits.extend(other.limits);
        self.entries.extend(other.entries);
        self.rests.extend(other.rests);
    }

    /// The report as it reads after another `span`.
    pub fn aged(self, span: Duration) -> Self {
        let limits = self.limits.into_iter();
        let rests = self.rests.into_iter();
        Self {
            evidence: self.evidence.aged(span),
            limits: limits.map(|report| report.aged(span)).collect(),
            entries: self.entries,
            rests: rests.filter_map(|rest| rest.aged(span)).collect(),
        }
    }
}

/// The reply to [`Observations`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservationsReply {
    /// Processes of which the receiver doesn't hold the announcement that a heartbeat repeats.
    /// The sender sends them whole.
    #[serde(default)]
    pub lacking: Vec<UpstreamId>,
    /// Whether enough control hosts hold the departures among the changes. None if there are none,
    /// and in earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub departures: Option<DeparturesHeld>,
}

impl Call for Observations {
    const METHOD: &'static str = "tell";
    type Reply = ObservationsReply;
}

/// Offers a checked configuration to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferConfig {
    pub configuration: ConfigText,
}

/// The reply to an [`OfferConfig`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OfferConfigReply {
    /// This configuration, or one with an equal or higher version, is in force.
    #[serde(rename = "Taken")]
    Accepted,
    TooLarge,
    /// The asked control host does not lead. Nothing was changed.
    NotLeading {
        /// The control host that leads, if known.
        leader: Option<NodeId>,
    },
    /// The configuration may be in force now or later.
    Unknown,
}

impl Call for OfferConfig {
    const METHOD: &'static str = "offer";
    type Reply = OfferConfigReply;
}

/// Tells the leader that the sender is about to stop, and that another voter may take its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseVoter {
    /// The control host that is about to stop.
    pub node: NodeId,
}

impl Call for ReleaseVoter {
    const METHOD: &'static str = "release_voter";
    type Reply = Release;
}

/// Reads the newest configuration from the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadConfig {}

/// The reply to a [`ReadConfig`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadConfigReply {
    Newest(ConfigText),
    /// There is no configuration yet.
    None,
    /// The asked control host does not lead.
    NotLeading {
        /// The control host that leads, if known.
        leader: Option<NodeId>,
    },
}

impl Call for ReadConfig {
    const METHOD: &'static str = "read_config";
    type Reply = ReadConfigReply;
}
