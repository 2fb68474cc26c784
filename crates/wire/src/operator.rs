//! Calls that the operators' command-line tool makes to an entry node.

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

/// Proposes a change of the rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Apply {
    /// The id of the change, the same in every resend.
    pub change: ChangeId,
    /// The version that the change was made from.
    pub base: Version,
    /// The complete rules file.
    pub text: String,
}

/// The reply to [`Apply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ApplyReply {
    /// The change was accepted, now or when it was first sent.
    Accepted {
        /// The version that the change became.
        version: Version,
    },
    /// Another change from the same base version was accepted first.
    Conflict {
        /// The id of the other change, if known.
        winner: Option<ChangeId>,
        /// The version in force.
        version: Version,
    },
    /// A change with other contents has the same id.
    Reused,
    /// The change is too old to tell whether it was accepted.
    Forgotten {
        /// The version in force.
        version: Version,
    },
    /// The file has errors.
    Rejected {
        /// All errors of the file.
        findings: Findings,
    },
}

/// Asks for the rules in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShowRules {}

/// The rules in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesReply {
    /// The version in force at the answering node.
    pub version: Version,
    /// The rules file.
    pub text: String,
    /// The nodes, with the version in force at each.
    pub nodes: Vec<NodeRow>,
}

/// A node as the answering node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// The id of the node.
    pub node: NodeId,
    /// The data centre of the node.
    pub centre: CentreId,
    /// The state of the node: `alive`, `suspect`, `dead`, `left` or `unheard`.
    pub standing: String,
    /// The version in force at the node, as last reported.
    pub version: Option<Version>,
    /// `leader`, `voter` or empty.
    pub role: String,
}

/// Asks for the status of the system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShowStatus {}

/// The status of the system as the answering node sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The answering node.
    pub node: NodeId,
    /// The phase of the answering node: `starting`, `serving` or `stopping`.
    pub phase: String,
    /// The configuration in force at the answering node.
    pub version: Version,
    /// The leader of the voters. Changes and keyed orders are accepted only if there is one.
    pub leader: Option<NodeId>,
    /// The node that controls the hosts of the answering node's data centre.
    pub controller: Option<NodeId>,
    /// The nodes of the system.
    pub nodes: Vec<NodeRow>,
    /// The replicas of all data centres whose controllers answered.
    pub replicas: Vec<ReplicaRow>,
    /// Healthy hosts that serve nothing, with the reason.
    pub stranded: Vec<StrandedRow>,
    /// The processes of services.
    pub services: Vec<ServiceRow>,
    /// The classes of requests, as counted by the answering node.
    pub classes: Vec<ClassRow>,
}

/// A replica of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// The id of the replica.
    pub replica: ReplicaId,
    /// The model of the replica.
    pub model: ModelName,
    /// What the replica is doing.
    pub state: String,
    /// The hosts of the replica by rank.
    pub hosts: Vec<HostId>,
    /// The number of the answering node's requests in progress at the replica.
    pub requests: u32,
}

/// A healthy host that serves nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StrandedRow {
    /// The id of the host.
    pub host: HostId,
    /// Why the host serves nothing.
    pub reason: String,
}

/// A process of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// The name of the service.
    pub service: ServiceName,
    /// The data centre of the process.
    pub centre: CentreId,
    /// The address at which the process takes calls.
    pub addr: std::net::SocketAddr,
    /// Whether the process is about to leave.
    pub leaving: bool,
}

/// A class of requests: those of one organisation under one contract or to one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRow {
    /// The name of the organisation.
    pub org: String,
    /// The name of the contract or service.
    pub class: String,
    /// The number of requests answered.
    pub answered: u64,
    /// The number of requests refused.
    pub refused: u64,
    /// The number of requests in progress.
    pub running: u32,
}

/// Asks for the ledger's record of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindOrder {
    /// The organisation that the order belongs to.
    pub org: OrgName,
    /// The idempotency key of the order.
    pub key: OrderKey,
}

/// The reply to [`FindOrder`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The record, if there is one.
    pub record: Option<OrderRow>,
}

/// The ledger's record of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// `running`, `done` or `unknown`.
    pub state: String,
    /// The HTTP status code of the answer, if the order is done.
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

/// Asks for the members of the voters' group, which holds the replicated state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShowVoters {}

/// The members of the voters' group, as its leader knows them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VotersReply {
    /// The leader of the voters.
    pub leader: NodeId,
    /// The members of the group, including the leader.
    pub members: Vec<VoterRow>,
    /// Nodes that wait to become members.
    pub waiting: Vec<NodeId>,
}

/// A member of the voters' group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterRow {
    /// The id of the node.
    pub node: NodeId,
    /// `voter`, or `learner` while it catches up.
    pub duty: String,
    /// The index up to which the member's log equals the leader's.
    pub matched: u64,
    /// The time since the leader sent the message that the member answered last, in ms.
    pub silent_ms: Option<u64>,
    /// `trusted`, or `lost` if the disk lost entries that the member had acknowledged.
    pub disk: String,
}

/// Changes the members of the voters' group, one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeVoters {
    /// Adds a waiting node. It becomes a voter once its log has caught up.
    Add(NodeId),
    /// Lets a member continue with its current disk. Its earlier disk never comes back.
    Replace(NodeId),
    /// Removes a member.
    Remove(NodeId),
}

/// The reply to [`ChangeVoters`]: the leader has accepted the change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeVotersReply {
    /// The leader of the voters.
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
