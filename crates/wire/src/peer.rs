//! Calls that nodes make to each other.

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

/// The announcements of upstreams that a node received since its last relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relay {
    /// The node that received the announcements.
    pub from: NodeId,
    /// The reports of hosts that are new or have changed.
    pub hosts: Vec<HostReport>,
    /// The heartbeats of hosts whose report is otherwise unchanged.
    pub beats: Vec<HostHeartbeat>,
    /// The reports of services.
    pub services: Vec<ServiceReport>,
}

/// A reply without content: the call was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {}

/// The reply to [`Relay`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayReply {
    /// Hosts that sent a heartbeat but whose full report is not known.
    pub unknown: Vec<HostId>,
}

impl Call for Relay {
    const METHOD: &'static str = "relay";
    type Reply = RelayReply;
}

/// Asks for a newer configuration than the asking node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullConfig {
    /// The asking node.
    pub from: NodeId,
    /// The version of the configuration at the asking node.
    pub have: Version,
}

/// The reply to [`PullConfig`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullConfigReply {
    /// The version of the configuration at the answering node.
    pub have: Version,
    /// An index up to which the voters' log is applied.
    pub applied: u64,
    /// The newer configuration, if there is one.
    pub newer: Option<Configuration>,
}

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The version of the configuration.
    pub version: Version,
    /// The complete rules file.
    pub text: String,
}

impl Call for PullConfig {
    const METHOD: &'static str = "pull_config";
    type Reply = PullConfigReply;
}

/// A message about the lease that makes a node its data centre's controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseMessage {
    /// The sender.
    pub from: NodeId,
    /// The message of the lease protocol.
    pub message: Message,
}

/// The reply to [`LeaseMessage`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// The granter's message, if there is one.
    pub message: Option<Message>,
}

/// Asks a data centre's controller for the routes of an entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRoutes {
    /// The poll of the entry node.
    pub poll: RoutePoll,
}

/// The reply to [`PollRoutes`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PollRoutesReply {
    /// The granted routes, if the answering node is the controller.
    pub grant: Option<RouteGrant>,
    /// The controller, as far as the answering node knows.
    pub controller: Option<NodeId>,
    /// The loads that changed since the asking node's last poll, or at intervals all loads.
    pub loads: Vec<LoadRow>,
}

/// The load of a replica, encoded as a list without field names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadFields", into = "LoadFields")]
pub struct LoadRow {
    /// The id of the replica.
    pub replica: ReplicaId,
    /// The age of the load, in milliseconds.
    pub age_ms: u32,
    /// The load of the replica's engine.
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

/// A message from one voter to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteMessage {
    /// The sender.
    pub from: NodeId,
    /// The message of the consensus protocol.
    pub message: vote::Message,
}

/// Asks a voter to propose an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Propose {
    /// The encoded `state::Op`.
    pub op: Blob,
    /// Whether a voter that is not the leader may forward the call.
    pub relay: Forwarding,
}

/// Whether a voter that is not the leader may forward a proposal to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Forwarding {
    /// The voter may forward the proposal.
    Allowed,
    /// The proposal was forwarded already, and is not forwarded again.
    Done,
}

/// The reply to [`Propose`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProposeReply {
    /// The operation was committed and applied.
    Done {
        /// The encoded `state::Reply`.
        reply: Blob,
    },
    /// The answering voter is not the leader. The operation was not proposed.
    NotLeader {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
    /// The operation was not committed and never will be.
    NotAccepted,
}

/// Asks the voters' leader for the status of a key in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadOrder {
    /// The organisation that the key belongs to.
    pub org: OrgName,
    /// The idempotency key.
    pub key: OrderKey,
}

/// The reply to [`ReadOrder`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadOrderReply {
    /// The status of the key, if the answering node is the leader.
    pub standing: Option<state::KeyStatus>,
}

/// The reply to [`VoteMessage`]: the voter's immediate messages to the sender.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// The voter's messages.
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

/// Asks a data centre's controller for its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShowReplicas {}

/// The reply to [`ShowReplicas`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRows {
    /// The replicas of the data centre.
    pub replicas: Vec<ReplicaRow>,
    /// Healthy hosts that serve nothing, with the reason.
    pub stranded: Vec<StrandedRow>,
}

impl Call for ShowReplicas {
    const METHOD: &'static str = "replicas";
    type Reply = ReplicaRows;
}
