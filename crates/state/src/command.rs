//! What the voters' log carries.

use serde::Deserialize;
use serde::Serialize;

use crate::Change;
use crate::ChangeReply;
use crate::Claim;
use crate::ClaimReply;
use crate::Learn;
use crate::Millis;
use crate::Offer;
use crate::OfferReply;
use crate::Record;
use crate::RecordReply;
use crate::Standing;
use crate::Withdraw;
use base::Incarnation;
use base::NodeId;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The leader's [`LogClock`](crate::LogClock) when it appended the entry.
    pub at: Millis,
    /// What to do.
    pub op: Op,
}

/// What a node proposes. New kinds are added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Only moves the time on.
    Nothing,
    /// Changes the configuration.
    Change(Change),
    /// Claims a key.
    Claim(Claim),
    /// Records the outcome of a claim.
    Record(Record),
    /// Records what a service told when it was asked.
    Learn(Learn),
    /// Gives up an attempt that was not sent.
    Withdraw(Withdraw),
    /// Ends the earlier lives of a node: what they had claimed is unknown.
    Gone {
        /// The node.
        node: NodeId,
        /// Its first life that goes on.
        before: Incarnation,
    },
    /// Offers a configuration that carries its own version.
    Offer(Offer),
}

/// What applying a command gave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Nothing to tell.
    Nothing,
    /// The entry had been applied before.
    Skipped,
    /// The answer to a [`Change`].
    Change(ChangeReply),
    /// The answer to a [`Claim`].
    Claim(ClaimReply),
    /// The answer to a [`Record`] or a [`Learn`].
    Record(RecordReply),
    /// What the ledger says of the key of a [`Withdraw`].
    Withdraw(Standing),
    /// Claims of a node's earlier lives that became unknown.
    Gone {
        /// How many.
        orders: u64,
    },
    /// The answer to an [`Offer`].
    Offer(OfferReply),
}
