//! Orders to engines and their outcomes.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use base::Fence;
use base::HostId;
use base::ModelName;
use base::ReplicaId;
use base::Time;

/// The id of an order, unique within one controller process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("o{_0}")]
pub struct OrderId(pub u64);

/// The action that an order asks of a host's engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Load the host's part of the model and join the replica.
    Form {
        /// The model.
        model: ModelName,
        /// All hosts of the replica in rank order.
        hosts: Vec<HostId>,
    },
    /// Drop any assignment and become idle.
    Release,
}

/// One order to one host's engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The order's id, to be passed back with the outcome.
    pub id: OrderId,
    /// The host that the order goes to.
    pub host: HostId,
    /// Where the host's engine takes orders.
    pub addr: SocketAddr,
    /// The fencing number of the tenure.
    pub fence: Fence,
    /// The replica to form or to release.
    pub replica: ReplicaId,
    /// The action to take.
    pub action: Action,
    /// The order must not be sent at or after this time on the controller's clock.
    pub deadline: Time,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Done,
    /// The order was not sent, or the engine refused it. It was not carried out.
    Refused,
    /// The order may have been carried out, or may still be.
    Unknown,
}
