//! A request at a replica.

use crate::fair_queue::WaitingRequest;
use base::ReplicaId;
use base::Time;

/// A request at a replica.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub waiting: WaitingRequest,
    pub replica: ReplicaId,
    pub sent_at: Time,
    /// The latest sign of life.
    pub last_sign_of_life: Time,
    /// Tokens generated, those of earlier attempts included.
    pub generated: u32,
}
