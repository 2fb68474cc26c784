//! What the voters' log carries.

use serde::Deserialize;
use serde::Serialize;

use crate::Claim;
use crate::ClaimReply;
use crate::ConfigChange;
use crate::ConfigChangeReply;
use crate::ConfigOffer;
use crate::ConfigOfferReply;
use crate::KeyStatus;
use crate::LogTime;
use crate::RecordOutcome;
use crate::RecordQueriedAnswer;
use crate::RecordReply;
use crate::Withdraw;
use base::Incarnation;
use base::NodeId;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The leader's [`LogClock`](crate::LogClock) when it appended the entry.
    pub at: LogTime,
    /// What to do.
    pub op: Op,
}

/// What a node proposes. New kinds are added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Only moves the time on.
    Nothing,
    /// Changes the configuration.
    Change(ConfigChange),
    /// Claims a key.
    Claim(Claim),
    /// Records the outcome of a claim.
    Record(RecordOutcome),
    /// Records what a service told when it was asked.
    Learn(RecordQueriedAnswer),
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
    Offer(ConfigOffer),
}

/// What applying a command gave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Nothing to tell.
    Nothing,
    /// The entry had been applied before.
    Skipped,
    /// The answer to a [`ConfigChange`].
    Change(ConfigChangeReply),
    /// The answer to a [`Claim`].
    Claim(ClaimReply),
    /// The answer to a [`RecordOutcome`] or a [`RecordQueriedAnswer`].
    Record(RecordReply),
    /// What the ledger says of the key of a [`Withdraw`].
    Withdraw(KeyStatus),
    /// Claims of a node's earlier lives that became unknown.
    Gone {
        /// How many.
        orders: u64,
    },
    /// The answer to a [`ConfigOffer`].
    Offer(ConfigOfferReply),
}
