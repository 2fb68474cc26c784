//! Settings of the controller.

use std::time::Duration;

/// Settings of a [`crate::Controller`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// How long a controller listens at the start of its term before it sends orders, so
    /// that all hosts in reach have announced themselves.
    pub settle_time: Duration,
    /// How long the controller listens after each new host before it forms the first replica.
    pub gather_time: Duration,
    /// A host that has been silent this long is not chosen for a replica.
    pub silence_limit: Duration,
    /// How long after one of its hosts has left a replica is broken. Longer than the stall after
    /// which an engine gives up its replica.
    pub lost_head_wait: Duration,
    /// A closing replica none of whose hosts was heard for this long is no longer recorded. Longer
    /// than data centres lose each other.
    pub silent_replica_limit: Duration,
    /// How long a replica may finish its requests once one of its hosts is leaving.
    pub drain_time: Duration,
    /// An order has failed if its effect isn't reported within this time.
    pub effect_timeout: Duration,
    /// Shortest time between two attempts of an order that did not take effect.
    pub retry_interval: Duration,
    /// Share of the hosts that are kept as staged spares, to replace lost hosts.
    pub spare_share: f64,
    /// Spare hosts of a model that a domain keeps when it forms replicas beyond the plan.
    pub reserve_hosts: usize,
    /// Share of the weight store's load rate that the controller uses.
    pub load_rate_share: f64,
    /// The time window in which loads are counted.
    pub load_window: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            settle_time: Duration::from_millis(1_400),
            gather_time: Duration::from_millis(400),
            silence_limit: Duration::from_millis(4_000),
            lost_head_wait: Duration::from_millis(4_300),
            silent_replica_limit: Duration::from_secs(2 * 60 * 60),
            drain_time: Duration::from_millis(1_500),
            effect_timeout: Duration::from_millis(1_500),
            retry_interval: Duration::from_millis(300),
            spare_share: 0.0,
            reserve_hosts: 0,
            load_rate_share: 0.8,
            load_window: Duration::from_secs(5),
        }
    }
}
