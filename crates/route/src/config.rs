//! The router's settings.

use std::time::Duration;

/// Settings of the router.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Number of entry nodes that send to the same replicas, this one included.
    pub sending_nodes: u32,
    /// Number of nearby replicas sampled for one request.
    pub near_sample: usize,
    /// Number of far replicas sampled if no nearby one is idle.
    pub far_sample: usize,
    /// Replicas whose scores differ by at most this count as equal. One is taken at random.
    pub score_tolerance: Duration,
    /// A replica this many times slower than the average is ejected.
    pub slow_factor: f64,
    /// Largest share of a model's replicas that may be ejected at once.
    pub max_ejected_share: f64,
    /// How long a replica is ejected the first time. Doubles up to `max_ejection`.
    pub first_ejection: Duration,
    /// The longest time of an ejection.
    pub max_ejection: Duration,
    /// Number of prefixes whose replicas are remembered.
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
