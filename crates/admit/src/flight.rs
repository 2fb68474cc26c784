//! A request at a replica.

use crate::lane::Waiting;
use base::ReplicaId;
use base::Time;

/// A request at a replica.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub waiting: Waiting,
    pub replica: ReplicaId,
    pub sent: Time,
    /// The latest sign of life.
    pub seen: Time,
    /// Tokens generated, those of earlier attempts included.
    pub generated: u32,
}
