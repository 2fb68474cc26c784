//! The id of one call at an entry node.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use base::Incarnation;
use base::NodeId;

/// Identifies one call at an entry node. A call under a key is sent at most once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{node}/{incarnation}/{sequence}")]
pub struct AttemptId {
    /// The entry node.
    pub node: NodeId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The number of the attempt, counted within the incarnation.
    pub sequence: u64,
}
