//! One call that an entry node wants to make under a key.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use base::Incarnation;
use base::NodeId;

/// One call of one entry node's life. It is sent upstream once at most.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{node}/{incarnation}/{sequence}")]
pub struct AttemptId {
    /// The entry node.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Counts the attempts of this life.
    pub sequence: u64,
}
