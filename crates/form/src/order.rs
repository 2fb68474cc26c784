//! What hosts are told to do.

use std::net::SocketAddr;

use derive_more::Display;

use base::Fence;
use base::Incarnation;
use base::ModelName;
use base::ReplicaName;
use base::UpstreamId;

/// Numbers the orders of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("o{_0}")]
pub struct OrderId(pub u64);

/// What a host is to do.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Action {
    /// Load a model from the weight store and keep it.
    #[display("stage {model}")]
    Stage {
        /// The model.
        model: ModelName,
    },
    /// Become part of a replica.
    #[display("join {replica} of {model}")]
    Join {
        /// The replica.
        replica: ReplicaName,
        /// The number that orders joins.
        epoch: Fence,
        /// The model.
        model: ModelName,
        /// All hosts by rank.
        hosts: Vec<UpstreamId>,
    },
    /// Serve, as the first host of a replica.
    #[display("open {replica}")]
    Open {
        /// The replica.
        replica: ReplicaName,
        /// The number of its join.
        epoch: Fence,
    },
    /// Belong to the replica no more, at once.
    #[display("leave {replica}")]
    Leave {
        /// The replica.
        replica: ReplicaName,
        /// The number of its join.
        epoch: Fence,
    },
}

/// An order to one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Its number.
    pub id: OrderId,
    /// The host.
    pub host: UpstreamId,
    /// The life that it is for.
    pub incarnation: Incarnation,
    /// Where the host takes orders.
    pub addr: SocketAddr,
    /// What to do.
    pub action: Action,
    /// How many orders the host has begun, as far as is known. It refuses the order if
    /// that is not so, which stops one that arrives late, after others. None: it has to be
    /// asked first.
    pub begun_orders: Option<u64>,
}

impl Outcome {
    /// Whether what was ordered is or will be so.
    pub fn is_done(self) -> bool {
        matches!(self, Self::Begun | Self::Done)
    }
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Outcome {
    /// It has begun, and the host counts one more.
    #[display("begun")]
    Begun,
    /// It was done already.
    #[display("done")]
    Done,
    /// It never left this process.
    #[display("not sent")]
    NotSent,
    /// The host did not take it.
    #[display("refused")]
    Refused,
    /// There was no answer. It may be carried out later.
    #[display("unknown")]
    Unknown,
}
