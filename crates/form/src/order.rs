//! Orders to hosts, and their outcomes.

use std::net::SocketAddr;

use derive_more::Display;

use base::Fence;
use base::Incarnation;
use base::ModelName;
use base::ReplicaName;
use base::UpstreamId;

/// Sequence number of an order, unique within the controller's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("o{_0}")]
pub struct OrderId(pub u64);

/// What an order tells a host to do.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Action {
    /// Load a model from the weight store and keep it staged.
    #[display("stage {model}")]
    Stage {
        /// The model.
        model: ModelName,
    },
    /// Join a replica.
    #[display("join {replica} of {model}")]
    Join {
        /// The replica.
        replica: ReplicaName,
        /// The number of this join. A later join has a larger one.
        epoch: Fence,
        /// The model.
        model: ModelName,
        /// All hosts of the replica, by rank.
        hosts: Vec<UpstreamId>,
    },
    /// Serve requests, as the head host of a replica.
    #[display("open {replica}")]
    Open {
        /// The replica.
        replica: ReplicaName,
        /// The number of the replica's join.
        epoch: Fence,
    },
    /// Leave the replica at once.
    #[display("leave {replica}")]
    Leave {
        /// The replica.
        replica: ReplicaName,
        /// The number of the replica's join.
        epoch: Fence,
    },
}

/// An order to one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The order's sequence number.
    pub id: OrderId,
    /// The host that is to carry out the order.
    pub host: UpstreamId,
    /// The incarnation of the host that the order is for.
    pub incarnation: Incarnation,
    /// Where the host takes orders.
    pub addr: SocketAddr,
    /// What the host is to do.
    pub action: Action,
    /// How many orders the host has begun. The host refuses the order if it has begun another
    /// number, so an order that arrives late, after others, has no effect. If None, the host
    /// has to be asked first.
    pub begun_orders: Option<u64>,
}

/// The head of an answer that came on the connection of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderAnswer {
    /// The answer's status.
    pub status: u16,
    /// Whether the answer names a caller's request. Orders bear no such id, so it isn't theirs.
    pub names_request: bool,
}

impl OrderAnswer {
    /// What the answer says about the only order of its connection.
    pub fn outcome(self) -> Outcome {
        match self.status {
            _ if self.names_request => Outcome::Unknown,
            202 => Outcome::Begun,
            200 => Outcome::Done,
            400..500 => Outcome::Refused,
            _ => Outcome::Unknown,
        }
    }
}

impl Outcome {
    /// Whether the order has taken effect or will.
    pub fn is_done(self) -> bool {
        matches!(self, Self::Begun | Self::Done)
    }
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Outcome {
    /// The host has begun the order and counts it.
    #[display("begun")]
    Begun,
    /// The host was already in the ordered state.
    #[display("done")]
    Done,
    /// The order never left this process.
    #[display("not sent")]
    NotSent,
    /// The host did not accept the order.
    #[display("refused")]
    Refused,
    /// There was no answer. The order may still be carried out later.
    #[display("unknown")]
    Unknown,
}
