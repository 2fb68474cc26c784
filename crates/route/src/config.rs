//! Settings of the router.

use std::time::Duration;

/// Settings of the router.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Entry nodes that send to the same replicas, this one included.
    pub sending_nodes: u32,
    /// Nearby replicas looked at for one request.
    pub near_sample: usize,
    /// Far replicas looked at when no nearby one is free.
    pub far_sample: usize,
    /// Replicas whose scores differ by less are equal, and one is taken at random.
    pub score_tolerance: Duration,
    /// A replica this many times slower than the others is left out.
    pub slow_factor: f64,
    /// Largest share of a model's replicas that may be left out at once.
    pub max_ejected_share: f64,
    /// How long a replica is left out the first time. Doubles up to `max_ejection`.
    pub first_ejection: Duration,
    /// The longest time a replica is left out.
    pub max_ejection: Duration,
    /// Prefixes whose places are remembered.
    pub max_prefixes: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            sending_nodes: 1,
            near_sample: 24,
            far_sample: 12,
            score_tolerance: Duration::from_millis(8),
            slow_factor: 3.0,
            max_ejected_share: 0.2,
            first_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(60),
            max_prefixes: 4096,
        }
    }
}
