//! A request that this node sent and that has not ended yet.

use std::time::Duration;

use base::ModelName;
use base::ReplicaId;
use base::Time;

use crate::Length;

/// One request at a replica.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub model: ModelName,
    pub replica: ReplicaId,
    pub length: Length,
    pub sent: Time,
    /// The forecast's part that does not depend on others' work.
    pub alone: Duration,
    /// The forecast of the first token.
    pub expected: Duration,
    /// The forecast's backlog of prompt tokens, as time.
    pub backlog: Duration,
    /// When the latest token came.
    pub last: Option<Time>,
}
