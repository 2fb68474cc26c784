//! Orders to engines, and what became of them.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use base::Fence;
use base::HostId;
use base::ModelName;
use base::ReplicaId;
use base::Time;

/// One order as its controller knows it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("o{_0}")]
pub struct OrderId(pub u64);

/// What a host's engine is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Load its part of the model and join the replica.
    Form {
        /// The model.
        model: ModelName,
        /// All hosts of the replica in the order of their ranks.
        hosts: Vec<HostId>,
    },
    /// Drop whatever it holds and be idle.
    Release,
}

/// One order to one host's engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Its id, to give back with the outcome.
    pub id: OrderId,
    /// The host.
    pub host: HostId,
    /// Where its engine takes orders.
    pub addr: SocketAddr,
    /// The fencing number of the tenure.
    pub fence: Fence,
    /// The replica that it is about.
    pub replica: ReplicaId,
    /// What to do.
    pub action: Action,
    /// Not to be sent at or after this time on the controller's clock.
    pub deadline: Time,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it.
    Done,
    /// It was not sent, or the engine refused it: it was not carried out.
    Refused,
    /// It may have been carried out, or may still be.
    Unknown,
}
