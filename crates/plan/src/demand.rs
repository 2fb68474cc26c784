//! How many replicas of a model are needed.

use serde::Deserialize;
use serde::Serialize;

/// The need for one model in this data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Hosts that one replica spans.
    pub width: usize,
    /// Replicas that the rules promise whatever the load.
    pub min: usize,
    /// Replicas that the rules allow.
    pub max: usize,
    /// Replicas that the load calls for.
    pub wanted: usize,
}

impl Demand {
    /// Replicas to have: what the load calls for, within what the rules allow.
    pub fn target_replicas(&self) -> usize {
        self.wanted.max(self.min).min(self.max.max(self.min))
    }
}
