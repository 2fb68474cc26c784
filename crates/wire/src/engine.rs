//! Calls that an engine's host takes, and the headers of requests to it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Call;
use base::Duty;
use base::Fence;
use base::HostId;
use base::ModelName;
use base::ReplicaId;

/// The request's id, repeated in every frame of the answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The replica that the request is meant for. Others refuse it.
pub const REPLICA_HEADER: &str = "x-replica";
/// The fencing number of that replica's assignment.
pub const FENCE_HEADER: &str = "x-fence";
/// Urgency in the batch; smaller goes first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Tokens of the same request that were delivered before, so the answer goes on after them.
pub const RESUME_HEADER: &str = "x-resume-from";

/// An order to one host of a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The host that the order is for. Another one refuses it.
    pub host: HostId,
    /// The replica that it concerns.
    pub replica: ReplicaId,
    /// The orderer's fencing number.
    pub fence: Fence,
    /// What to do.
    pub action: EngineAction,
}

/// What a host is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineAction {
    /// Load the model and form a replica with the other hosts.
    Form {
        /// The model.
        model: ModelName,
        /// All hosts of the replica, in the order of their ranks.
        hosts: Vec<GroupHost>,
    },
    /// Leave the replica and drop its weights.
    Release,
}

/// One host of a replica and where the others find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupHost {
    /// The host.
    pub host: HostId,
    /// Where its engine listens.
    pub addr: SocketAddr,
}

/// What a host answers to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrderReply {
    /// Whether the order was taken.
    pub taken: OrderAcceptance,
    /// What the host does now.
    pub duty: Duty,
    /// The largest fencing number it has seen.
    pub fence: Fence,
}

/// Whether an order was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAcceptance {
    /// It was.
    Accepted,
    /// Its fencing number is old.
    OldFence,
    /// It is for another host, or releases a replica that the host is not in.
    NotMine,
}

/// Asks a host what it does, as the other hosts of its replica do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskDuty {
    /// The host that is meant.
    pub host: HostId,
}

impl Call for AskDuty {
    const METHOD: &'static str = "duty";
    type Reply = Duty;
}

impl Call for EngineOrder {
    const METHOD: &'static str = "order";
    type Reply = EngineOrderReply;
}
