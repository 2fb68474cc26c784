//! Requests that this node has sent and that have not ended yet.

use std::time::Duration;

use crate::Length;
use crate::Standing;
use base::ModelName;
use base::ReplicaId;
use base::Time;

/// One request in flight, with its forecast.
#[derive(Clone, Debug)]
pub(crate) struct InFlightRequest {
    pub model: ModelName,
    pub replica: ReplicaId,
    pub length: Length,
    pub standing: Standing,
    pub sent_at: Time,
    /// The predicted time to the first token at an idle replica.
    pub unloaded_time: Duration,
    /// The predicted wait for a slot.
    pub slot_wait: Duration,
    /// The predicted time to the first token.
    pub expected_first_token: Duration,
    /// The predicted backlog of prompt tokens, as time.
    pub backlog: Duration,
    /// When the latest token arrived.
    pub last_token_at: Option<Time>,
}

impl InFlightRequest {
    /// True if the time to the first token reflects the replica's speed, not the request's
    /// priority.
    pub fn is_urgent(&self) -> bool {
        self.length == Length::Short && self.standing == Standing::Within
    }
}
