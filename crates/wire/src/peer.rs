//! Calls that the system's nodes make to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::Call;
use crate::CompactLoad;
use crate::operator::ReplicaRow;
use crate::operator::StrandedRow;
use crate::upstream::HostHeartbeat;
use base::HostId;
use base::HostReport;
use base::NodeId;
use base::OrderKey;
use base::OrgName;
use base::ReplicaId;
use base::ServiceReport;
use base::Version;
use lease::Message;
use plan::RouteGrant;
use plan::RoutePoll;
use vote::Blob;

/// What a node heard from upstreams since it last told its neighbours.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relay {
    /// The node that heard it.
    pub from: NodeId,
    /// Announcements of hosts that are new or have changed.
    pub hosts: Vec<HostReport>,
    /// Announcements of hosts that have not.
    pub beats: Vec<HostHeartbeat>,
    /// Announcements of services.
    pub services: Vec<ServiceReport>,
}

/// A message was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {}

/// The answer to [`Relay`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayReply {
    /// Hosts of which only beats came and the rest is not known.
    pub unknown: Vec<HostId>,
}

impl Call for Relay {
    const METHOD: &'static str = "relay";
    type Reply = RelayReply;
}

/// Asks for a configuration that is newer than the one this node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullConfig {
    /// The node that asks.
    pub from: NodeId,
    /// The version it has.
    pub have: Version,
}

/// The answer to [`PullConfig`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullConfigReply {
    /// The version that the node that was asked has.
    pub have: Version,
    /// An index of the voters' log that is applied.
    pub applied: u64,
    /// The newer configuration, if there is one.
    pub newer: Option<Configuration>,
}

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version.
    pub version: Version,
    /// The operators' whole file.
    pub text: String,
}

impl Call for PullConfig {
    const METHOD: &'static str = "pull_config";
    type Reply = PullConfigReply;
}

/// A message about the lease of a data centre's controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseMessage {
    /// Who sends it.
    pub from: NodeId,
    /// What.
    pub message: Message,
}

/// The answer to [`LeaseMessage`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// What the granter says, if anything.
    pub message: Option<Message>,
}

/// An entry node asks a data centre's controller for its routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRoutes {
    /// The poll.
    pub poll: RoutePoll,
}

/// The answer to [`PollRoutes`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PollRoutesReply {
    /// The grant, if the node that was asked is the controller.
    pub grant: Option<RouteGrant>,
    /// The controller, as far as that node knows.
    pub controller: Option<NodeId>,
    /// Loads of the replicas that are granted.
    pub loads: Vec<LoadRow>,
}

/// A replica's load. It travels without its fields' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadFields", into = "LoadFields")]
pub struct LoadRow {
    /// The replica.
    pub replica: ReplicaId,
    /// How old the load is, in milliseconds.
    pub age_ms: u32,
    /// The load.
    pub load: CompactLoad,
}

type LoadFields = (ReplicaId, u32, CompactLoad);

impl From<LoadFields> for LoadRow {
    fn from((replica, age_ms, load): LoadFields) -> Self {
        Self {
            replica,
            age_ms,
            load,
        }
    }
}

impl From<LoadRow> for LoadFields {
    fn from(row: LoadRow) -> Self {
        (row.replica, row.age_ms, row.load)
    }
}

impl Call for LeaseMessage {
    const METHOD: &'static str = "lease";
    type Reply = LeaseReply;
}

impl Call for PollRoutes {
    const METHOD: &'static str = "poll_routes";
    type Reply = PollRoutesReply;
}

/// A message of one voter to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteMessage {
    /// Who sends it.
    pub from: NodeId,
    /// What.
    pub message: vote::Message,
}

/// Asks a voter to get a command agreed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Propose {
    /// The encoded `state::Op`.
    pub op: Blob,
    /// Whether a voter that doesn't lead may pass it on.
    pub relay: Forwarding,
}

/// Whether a voter that doesn't lead may pass a command on to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Forwarding {
    /// It may.
    Allowed,
    /// It was passed on already.
    Done,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProposeReply {
    /// It was accepted.
    Done {
        /// The encoded `state::Reply`.
        reply: Blob,
    },
    /// Another voter leads. Nothing was done.
    NotLeader {
        /// Who leads, if known.
        leader: Option<NodeId>,
    },
    /// It was not accepted and never will be.
    NotAccepted,
}

/// Asks the voters' leader what the ledger says of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadOrder {
    /// The organisation.
    pub org: OrgName,
    /// The key.
    pub key: OrderKey,
}

/// The answer to [`ReadOrder`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadOrderReply {
    /// What the ledger says, if the node that was asked leads.
    pub standing: Option<state::KeyStatus>,
}

/// The answer to [`VoteMessage`]: what the voter has to say back at once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Its messages.
    pub messages: Vec<vote::Message>,
}

impl Call for VoteMessage {
    const METHOD: &'static str = "vote";
    type Reply = VoteReply;
}

impl Call for Propose {
    const METHOD: &'static str = "propose";
    type Reply = ProposeReply;
}

impl Call for ReadOrder {
    const METHOD: &'static str = "read_order";
    type Reply = ReadOrderReply;
}

/// Asks a data centre's controller what it orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShowReplicas {}

/// What a controller orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRows {
    /// Its replicas.
    pub replicas: Vec<ReplicaRow>,
    /// Healthy hosts that serve nothing.
    pub stranded: Vec<StrandedRow>,
}

impl Call for ShowReplicas {
    const METHOD: &'static str = "replicas";
    type Reply = ReplicaRows;
}
