//! What the processes of a deployment tell each other.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::CentreName;
use base::Fence;
use base::Incarnation;
use base::ModelName;
use base::NodeId;
use base::ReplicaName;
use base::UpstreamId;
use base::Version;
use fleet::Change;
use fleet::Directions;
use fleet::Edition;
use fleet::Revision;
use wire::Call;

/// Requests that an entry host has at a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub id: UpstreamId,
    /// How many.
    pub requests: u32,
    /// What the prompts take that have not been read, in seconds.
    pub reading: f64,
    /// How long ago it gave something, where it has lately.
    pub moved_ago: Option<Duration>,
}

/// A first host that the leader cannot reach, and that is to leave its replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unreachable {
    /// The host.
    pub host: UpstreamId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// The replica.
    pub replica: ReplicaName,
    /// The number of its join.
    pub epoch: Fence,
}

/// How much a model was asked for lately.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelWork {
    /// The model.
    pub model: ModelName,
    /// Replicas that it keeps busy: reading prompts, and the places that answers hold.
    pub offered: f64,
}

/// A configuration as its operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigText {
    /// Its version.
    pub version: Version,
    /// The whole text.
    pub text: String,
}

/// What an entry host tells of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryState {
    /// Its data centre.
    pub centre: CentreName,
    /// Its requests at targets.
    pub loads: Vec<TargetLoad>,
    /// Requests that came in lately.
    pub work: Vec<ModelWork>,
}

/// Who asks for what is new.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Watcher {
    /// An entry host. Any control host answers.
    Entry(EntryState),
    /// A control host. Only the one that leads answers.
    Control {
        /// The entry hosts that follow it, with what they told.
        entries: Vec<EntryLoad>,
    },
}

/// What an entry host told, as its control host passes it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryLoad {
    /// The entry host.
    pub node: NodeId,
    /// What it told.
    pub state: EntryState,
}

/// Asks a control host for what is newer than what is known. The answer comes at once
/// if there is something, else after a short time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// Who asks.
    pub from: NodeId,
    /// The life of the control host whose revision is known.
    pub life: Incarnation,
    /// The revision of its roster that is known.
    pub revision: Revision,
    /// The version that is known.
    pub version: Version,
    /// The directions that are known.
    pub edition: Edition,
    /// Who asks.
    pub watcher: Watcher,
}

/// What is new.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// The life of the control host.
    pub life: Incarnation,
    /// The revision of its roster.
    pub revision: Revision,
    /// Changes of the roster.
    pub changes: Vec<Change>,
    /// The configuration, if it is newer.
    pub configuration: Option<ConfigText>,
    /// The directions, if they are newer.
    pub directions: Option<Directions>,
    /// All entry hosts' requests at targets.
    pub loads: Vec<TargetLoad>,
    /// First hosts that are to leave, where this entry host reaches them.
    pub unreachable: Vec<Unreachable>,
    /// How long ago a majority stood behind this configuration, if it ever did.
    pub confirmed_ago: Option<Duration>,
    /// All control hosts that are known.
    pub controls: Vec<NodeId>,
    /// How many entry hosts there are.
    pub entries: usize,
}

/// The answer to a [`Watch`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Watched {
    /// What is new.
    News(Box<News>),
    /// Another control host leads, or none.
    NotLeading {
        /// Which one, if that is known.
        leader: Option<NodeId>,
    },
}

impl Call for Watch {
    const METHOD: &'static str = "watch";
    type Reply = Watched;
}

/// A process said nothing new, but it said it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The process.
    pub id: UpstreamId,
    /// Its life.
    pub life: Incarnation,
    /// The number of what it said.
    pub sequence: u64,
}

/// Tells the control host that leads what was heard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tell {
    /// What processes of upstreams said.
    pub changes: Vec<Change>,
    /// Processes that said nothing new.
    pub beats: Vec<Beat>,
    /// First hosts that stand still, as entry hosts saw.
    pub still: Vec<UpstreamId>,
    /// Replicas whose first host has left, as entry hosts saw.
    pub left: Vec<Fence>,
}

/// It was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {}

impl Call for Tell {
    const METHOD: &'static str = "tell";
    type Reply = Told;
}

/// Gives a checked configuration to the control host that leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The configuration.
    pub configuration: ConfigText,
}

/// The answer to an [`Offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Offered {
    /// It, or one with an equal or higher version, is in force.
    Taken,
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

impl Call for Offer {
    const METHOD: &'static str = "offer";
    type Reply = Offered;
}

/// Reads the newest configuration at the control host that leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadConfig {}

/// The answer to a [`ReadConfig`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigRead {
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
    type Reply = ConfigRead;
}
