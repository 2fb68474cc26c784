//! What the processes of a deployment tell each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::Fence;
use base::Incarnation;
use base::NodeId;
use base::ReplicaName;
use base::UpstreamId;
use base::Version;
use fleet::CompressedText;
use fleet::Edition;
use fleet::Revision;
use fleet::RosterChange;
use fleet::RoutingTable;
use forward::LoadReport;
use wire::Call;

/// A first host that the leader cannot reach, and that is to leave its replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableHead {
    /// The host.
    pub host: UpstreamId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// The replica.
    pub replica: ReplicaName,
    /// The number of its join.
    pub epoch: Fence,
}

/// A configuration as its operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigText {
    /// Its version.
    pub version: Version,
    /// The whole text.
    pub text: CompressedText,
}

/// Who asks for what is new.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Watcher {
    /// An entry host. Any control host answers.
    Entry,
    /// A control host. Only the one that leads answers.
    Control,
}

/// Asks a control host for what is newer than what is known. The answer comes at once
/// if there is something, else after a short time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// Who asks.
    pub from: NodeId,
    /// The life of the control host whose revision is known.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The revision of its roster that is known.
    pub revision: Revision,
    /// The version that is known.
    pub version: Version,
    /// The directions that are known.
    pub edition: Edition,
    /// What it is.
    pub watcher: Watcher,
    /// What it, or the entry hosts that follow it, have under way. None if that was told
    /// just before.
    #[serde(rename = "tally")]
    pub load_report: Option<LoadReport>,
}

/// What is new.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchUpdate {
    /// The life of the control host.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The revision of its roster.
    pub revision: Revision,
    /// Changes of the roster.
    pub changes: Vec<RosterChange>,
    /// The configuration, if it is newer.
    pub configuration: Option<ConfigText>,
    /// The directions, if they are newer.
    #[serde(rename = "directions")]
    pub routing_table: Option<RoutingTable>,
    /// First hosts that are to leave, where this entry host reaches them.
    pub unreachable: Vec<UnreachableHead>,
    /// How long ago a majority stood behind this configuration, if it ever did.
    pub confirmed_ago: Option<Duration>,
    /// All control hosts that are known.
    pub controls: Vec<NodeId>,
    /// What entry hosts have under way. For a control host those that it did not tell of.
    /// None if that was told just before.
    #[serde(rename = "tally")]
    pub load_report: Option<Rc<LoadReport>>,
}

/// The answer to a [`Watch`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WatchReply {
    /// What is new.
    #[serde(rename = "News")]
    Update(Box<WatchUpdate>),
    /// Another control host leads, or none.
    NotLeading {
        /// Which one, if that is known.
        leader: Option<NodeId>,
    },
}

impl Call for Watch {
    const METHOD: &'static str = "watch";
    type Reply = WatchReply;
}

/// A process said nothing new, but it said it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The process.
    pub id: UpstreamId,
    /// Its life.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The number of what it said.
    pub sequence: u64,
}

/// Tells the control host that leads what was heard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observations {
    /// What processes of upstreams said.
    pub changes: Vec<RosterChange>,
    /// Processes that said nothing new.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<Heartbeat>,
    /// First hosts that stand still, as entry hosts saw.
    #[serde(rename = "still")]
    pub stalled_heads: Vec<UpstreamId>,
    /// Replicas whose first host has left, as entry hosts saw.
    #[serde(rename = "left")]
    pub left_replicas: Vec<Fence>,
}

/// It was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservationsReply {}

impl Call for Observations {
    const METHOD: &'static str = "tell";
    type Reply = ObservationsReply;
}

/// Gives a checked configuration to the control host that leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferConfig {
    /// The configuration.
    pub configuration: ConfigText,
}

/// The answer to an [`OfferConfig`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OfferConfigReply {
    /// It, or one with an equal or higher version, is in force.
    #[serde(rename = "Taken")]
    Accepted,
    /// It is too large.
    TooLarge,
    /// Another control host leads, or none. Nothing was done.
    NotLeading {
        /// Which one, if that is known.
        leader: Option<NodeId>,
    },
    /// It may be in force, or may still come to be.
    Unknown,
}

impl Call for OfferConfig {
    const METHOD: &'static str = "offer";
    type Reply = OfferConfigReply;
}

/// Reads the newest configuration at the control host that leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadConfig {}

/// The answer to a [`ReadConfig`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadConfigReply {
    /// The newest configuration.
    Newest(ConfigText),
    /// There is none yet.
    None,
    /// Another control host leads, or none.
    NotLeading {
        /// Which one, if that is known.
        leader: Option<NodeId>,
    },
}

impl Call for ReadConfig {
    const METHOD: &'static str = "read_config";
    type Reply = ReadConfigReply;
}
