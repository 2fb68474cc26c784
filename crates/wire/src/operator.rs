//! Calls that the operators' tool makes to an entry node.

use serde::Deserialize;
use serde::Serialize;

use crate::Call;
use base::CentreId;
use base::ChangeId;
use base::Findings;
use base::HostId;
use base::ModelName;
use base::NodeId;
use base::OrderKey;
use base::OrgName;
use base::ReplicaId;
use base::ServiceName;
use base::Version;

/// Asks to accept a change of the rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// The change's id, the same whenever it is sent again.
    pub change: ChangeId,
    /// The version that the change was made from.
    pub base: Version,
    /// The whole file.
    pub text: String,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ApplyReply {
    /// It was accepted, now or when it was first sent.
    Accepted {
        /// Its version.
        version: Version,
    },
    /// Another change was accepted from the same base.
    Conflict {
        /// The change that was.
        winner: Option<ChangeId>,
        /// The version in force.
        version: Version,
    },
    /// The id was given to a change of other contents.
    Reused,
    /// The change is too old to be remembered: it may have been accepted.
    Forgotten {
        /// The version in force.
        version: Version,
    },
    /// The file has mistakes.
    Rejected {
        /// All of them.
        findings: Findings,
    },
}

/// Asks for the rules in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShowRules {}

/// The rules in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesReply {
    /// The version in force at the node that answers.
    pub version: Version,
    /// The operators' file.
    pub text: String,
    /// What each node has in force.
    pub nodes: Vec<NodeRow>,
}

/// A node as another one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// The node.
    pub node: NodeId,
    /// Its data centre.
    pub centre: CentreId,
    /// Whether it is there: `alive`, `suspect`, `dead`, `left` or `unheard`.
    pub standing: String,
    /// The version in force there, as last heard.
    pub version: Option<Version>,
    /// `leader`, `voter` or nothing.
    pub role: String,
}

/// Asks how things are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShowStatus {}

/// How things are, as the node that answers sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The node that answers.
    pub node: NodeId,
    /// What it is doing.
    pub phase: String,
    /// The configuration in force there.
    pub version: Version,
    /// Whether changes and orders are taken: who leads the voters.
    pub leader: Option<NodeId>,
    /// Which node orders the hosts of this data centre.
    pub controller: Option<NodeId>,
    /// Nodes.
    pub nodes: Vec<NodeRow>,
    /// Replicas of this data centre.
    pub replicas: Vec<ReplicaRow>,
    /// Healthy hosts that serve nothing.
    pub stranded: Vec<StrandedRow>,
    /// Processes of services.
    pub services: Vec<ServiceRow>,
    /// Classes of requests, as counted by the node that answers.
    pub classes: Vec<ClassRow>,
}

/// A replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// The replica.
    pub replica: ReplicaId,
    /// Its model.
    pub model: ModelName,
    /// What it is doing.
    pub state: String,
    /// Its hosts by rank.
    pub hosts: Vec<HostId>,
    /// Requests of the answering node in progress there.
    pub requests: u32,
}

/// A healthy host that serves nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StrandedRow {
    /// The host.
    pub host: HostId,
    /// Why.
    pub reason: String,
}

/// A process of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// The service.
    pub service: ServiceName,
    /// Its data centre.
    pub centre: CentreId,
    /// Where it listens.
    pub addr: std::net::SocketAddr,
    /// True if it is leaving.
    pub leaving: bool,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRow {
    /// The organisation.
    pub org: String,
    /// The contract or service.
    pub class: String,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests in progress.
    pub running: u32,
}

/// Asks what is known of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindOrder {
    /// The organisation whose order it is.
    pub org: OrgName,
    /// Its key.
    pub key: OrderKey,
}

/// What is known of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The record, if there is one.
    pub record: Option<OrderRow>,
}

/// An order's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// `running`, `done` or `unknown`.
    pub state: String,
    /// HTTP status of its answer, if it is done.
    pub status: Option<u16>,
}

impl Call for Apply {
    const METHOD: &'static str = "apply";
    type Reply = ApplyReply;
}

impl Call for ShowRules {
    const METHOD: &'static str = "rules";
    type Reply = RulesReply;
}

impl Call for ShowStatus {
    const METHOD: &'static str = "status";
    type Reply = StatusReply;
}

impl Call for FindOrder {
    const METHOD: &'static str = "order";
    type Reply = OrderReply;
}

/// Asks who holds the durable state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShowVoters {}

/// Who holds the durable state, as the leader knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VotersReply {
    /// The leader.
    pub leader: NodeId,
    /// The members, the leader included.
    pub members: Vec<VoterRow>,
    /// Nodes that want to become members.
    pub waiting: Vec<NodeId>,
}

/// A member of the voters' group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterRow {
    /// The node.
    pub node: NodeId,
    /// `voter`, or `learner` while it catches up.
    pub duty: String,
    /// How far its log equals the leader's.
    pub matched: u64,
    /// Milliseconds since the leader sent what the member last answered.
    pub silent_ms: Option<u64>,
    /// `trusted`, or `lost` if its disk has lost what it had acknowledged.
    pub disk: String,
}

/// Changes the members of the voters' group, one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeVoters {
    /// A waiting node joins. It counts once it has caught up.
    Add(NodeId),
    /// A member goes on with the disk that it has now. Its earlier one is gone for good.
    Replace(NodeId),
    /// A member leaves.
    Remove(NodeId),
}

/// A change of the voters' group was taken by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeVotersReply {
    /// The leader.
    pub leader: NodeId,
}

impl Call for ShowVoters {
    const METHOD: &'static str = "voters";
    type Reply = VotersReply;
}

impl Call for ChangeVoters {
    const METHOD: &'static str = "change_voters";
    type Reply = ChangeVotersReply;
}
