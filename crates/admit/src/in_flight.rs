//! A request that was sent to a replica.

use crate::fair_queue::AcceptedRequest;
use base::ReplicaId;
use base::Time;

/// A request that was sent to a replica and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub accepted: AcceptedRequest,
    pub replica: ReplicaId,
    pub sent_at: Time,
    /// When the request was sent or last produced a token.
    pub last_token_at: Time,
    /// Number of generated tokens, including those of earlier attempts.
    pub generated: u32,
}
