//! The commands in the voters' log and their replies.

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
use fleet::RecordChanges;

/// A command, the content of an entry of the voters' log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The time of the leader's [`LogClock`](crate::LogClock) when it appended the entry.
    pub at: LogTime,
    /// The operation.
    pub op: Op,
}

/// An operation that a node proposes. New variants go to the end, as they are numbered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Does nothing but advance the log's time.
    Nothing,
    /// Changes the configuration.
    Change(ConfigChange),
    /// Claims a key for one call.
    Claim(Claim),
    /// Records the outcome of a claim.
    Record(RecordOutcome),
    /// Records the answer that a service gave when it was asked for the outcome.
    Learn(RecordQueriedAnswer),
    /// Withdraws an attempt whose call was not sent.
    Withdraw(Withdraw),
    /// Ends the earlier incarnations of a node: their claims become unknown.
    Gone {
        /// The node.
        node: NodeId,
        /// The first incarnation that does not end.
        before: Incarnation,
    },
    /// Offers a configuration with a version number given by its operator.
    Offer(ConfigOffer),
    /// Changes the recorded replicas.
    RecordReplicas(RecordChanges),
}

/// The reply to a command, once it is applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The operation has no result.
    Nothing,
    /// The command was skipped, because its entry was applied before.
    Skipped,
    /// The reply to a [`ConfigChange`].
    Change(ConfigChangeReply),
    /// The reply to a [`Claim`].
    Claim(ClaimReply),
    /// The reply to a [`RecordOutcome`] or a [`RecordQueriedAnswer`].
    Record(RecordReply),
    /// The status of the key after a [`Withdraw`].
    Withdraw(KeyStatus),
    /// The reply to [`Op::Gone`].
    Gone {
        /// The number of claims whose outcome became unknown.
        orders: u64,
    },
    /// The reply to a [`ConfigOffer`].
    Offer(ConfigOfferReply),
    /// The replicas are recorded.
    ReplicasRecorded,
}
