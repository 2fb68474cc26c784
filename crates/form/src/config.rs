//! Times and shares that the controller keeps.

use std::time::Duration;

/// Settings of a [`crate::Controller`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// A new term listens this long before it orders anything, so that all hosts in
    /// reach have announced themselves.
    pub settle_time: Duration,
    /// Before the first replica it listens this long after each new host.
    pub gather_time: Duration,
    /// A host that is silent this long is not chosen for a replica.
    pub silence_limit: Duration,
    /// A first host that is lost may still serve. Its hosts are free after this time:
    /// longer than engines stand still before they give up a replica.
    pub lost_head_wait: Duration,
    /// A replica with a host that leaves finishes its work for this long.
    pub drain_time: Duration,
    /// An order whose effect isn't reported within this time has failed.
    pub effect_timeout: Duration,
    /// Time between two tries of an order without an answer.
    pub retry_interval: Duration,
    /// Share of the hosts that stand by, staged, for those that are lost.
    pub spare_share: f64,
    /// Spare hosts of a model that a domain keeps before more replicas than planned are
    /// formed.
    pub reserve_hosts: usize,
    /// Share of the loads that the weight store allows.
    pub load_rate_share: f64,
    /// The window over which loads are counted.
    pub load_window: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            settle_time: Duration::from_millis(1_400),
            gather_time: Duration::from_millis(400),
            silence_limit: Duration::from_millis(4_000),
            lost_head_wait: Duration::from_millis(4_300),
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
