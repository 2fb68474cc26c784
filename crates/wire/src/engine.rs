//! Calls to the host of an engine, and the headers of requests to the engine.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::Call;
use base::Duty;
use base::Fence;
use base::HostId;
use base::ModelName;
use base::ReplicaId;

/// The id of the request, repeated in every frame of the answer and in the head of a refusal.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The replica that the request is for. Other replicas refuse it.
pub const REPLICA_HEADER: &str = "x-replica";
/// The fencing number of the replica's assignment.
pub const FENCE_HEADER: &str = "x-fence";
/// The priority of the request in the batch. A smaller number goes first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// The number of the request's tokens delivered before. The answer continues after them.
pub const RESUME_HEADER: &str = "x-resume-from";

/// Says whether the request of an answer ran, in answers of engines, services and nodes.
pub const RAN_HEADER: &str = "x-ran";
/// The value of [`RAN_HEADER`] in refusals: the request did not run and never will.
pub const NOT_RUN: &str = "not-run";

/// An order from a controller to one host of a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The host that the order is for. Other hosts refuse it.
    pub host: HostId,
    /// The replica that the order is about.
    pub replica: ReplicaId,
    /// The fencing number of the controller.
    pub fence: Fence,
    /// What the host is to do.
    pub action: EngineAction,
}

/// What an order tells a host to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineAction {
    /// Load the model and form a replica with the other hosts of the list.
    Form {
        /// The model to load.
        model: ModelName,
        /// All hosts of the replica, in the order of their ranks.
        hosts: Vec<GroupHost>,
    },
    /// Leave the replica and drop its weights.
    Release,
}

/// A host of a replica, and the address at which the other hosts reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupHost {
    /// The id of the host.
    pub host: HostId,
    /// The address of its engine.
    pub addr: SocketAddr,
}

/// The reply to an [`EngineOrder`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrderReply {
    /// Whether the host accepted the order.
    pub taken: OrderAcceptance,
    /// What the host does now.
    pub duty: Duty,
    /// The largest fencing number that the host has seen.
    pub fence: Fence,
}

/// Whether a host accepted an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAcceptance {
    /// The host accepted the order.
    Accepted,
    /// The order has an old fencing number.
    OldFence,
    /// The order is for another host, or releases a replica that the host is not in.
    NotMine,
}

/// Asks a host what it does. The other hosts of its replica make this call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskDuty {
    /// The host that is asked.
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
