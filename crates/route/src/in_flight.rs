//! A request that this node sent and that has not ended yet.

use std::time::Duration;

use crate::Length;
use crate::Standing;
use base::ModelName;
use base::ReplicaId;
use base::Time;

/// One request at a replica.
#[derive(Clone, Debug)]
pub(crate) struct InFlightRequest {
    pub model: ModelName,
    pub replica: ReplicaId,
    pub length: Length,
    pub standing: Standing,
    pub sent_at: Time,
    /// The forecast's part that does not depend on others' work.
    pub unloaded_time: Duration,
    /// The forecast's wait for a slot.
    pub slot_wait: Duration,
    /// The forecast of the first token.
    pub expected_first_token: Duration,
    /// The forecast's backlog of prompt tokens, as time.
    pub backlog: Duration,
    /// When the latest token came.
    pub last_token_at: Option<Time>,
}

impl InFlightRequest {
    /// True if its time to the first token tells of the replica and not of its rank.
    pub fn is_urgent(&self) -> bool {
        self.length == Length::Short && self.standing == Standing::Within
    }
}
