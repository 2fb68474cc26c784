//! The number of replicas that a model needs.

use serde::Deserialize;
use serde::Serialize;

/// The need for one model in this data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Hosts that one replica spans.
    pub width: usize,
    /// Replicas that the rules promise, whatever the load.
    pub min: usize,
    /// The most replicas that the rules allow.
    pub max: usize,
    /// Replicas that the current load needs.
    pub wanted: usize,
}

impl Demand {
    /// The number of replicas to have: what the load needs, within what the rules allow.
    pub fn target_replicas(&self) -> usize {
        self.wanted.max(self.min).min(self.max.max(self.min))
    }
}
