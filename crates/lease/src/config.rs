//! Settings of the lease, which are the same on all nodes of a data centre.

use std::time::Duration;

use base::NodeId;

/// The longest lease that may be requested. A granter that starts without its persisted state
/// grants nothing for this long.
pub const MAX_LEASE_TIME: Duration = Duration::from_secs(6);

/// Over a lease, two clocks may drift apart by at most the lease time divided by this.
pub const MAX_DRIFT_DIVISOR: u32 = 50;

/// Which nodes grant the lease, and its times.
#[derive(Clone, Debug)]
pub struct Config {
    /// The nodes that grant the lease, in the order in which they are preferred as controller.
    pub granters: Vec<NodeId>,
    /// How long a lease lasts, at most [`MAX_LEASE_TIME`].
    pub lease_time: Duration,
    /// Time between two renewals.
    pub renew_interval: Duration,
    /// Time between two sends of a request that no majority has granted yet.
    pub resend_interval: Duration,
    /// Time after which a bid without a majority is withdrawn.
    pub bid_timeout: Duration,
    /// Extra wait before a bid for each place further down the list of granters.
    pub bid_stagger: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            granters: Vec::new(),
            lease_time: MAX_LEASE_TIME,
            renew_interval: Duration::from_millis(1_500),
            resend_interval: Duration::from_millis(300),
            bid_timeout: Duration::from_millis(1_500),
            bid_stagger: Duration::from_millis(200),
        }
    }
}

impl Config {
    /// Settings with these granters.
    pub fn with_granters(granters: impl IntoIterator<Item = NodeId>) -> Self {
        Self {
            granters: granters.into_iter().collect(),
            ..Self::default()
        }
    }

    /// The number of granters that form a majority.
    pub fn majority(&self) -> usize {
        self.granters.len() / 2 + 1
    }

    /// How long a requested lease lasts at the granters.
    pub(crate) fn requested_time(&self) -> Duration {
        self.lease_time.min(MAX_LEASE_TIME)
    }

    /// How long the holder counts on the lease, shorter by the margin for clock drift.
    pub(crate) fn held_time(&self) -> Duration {
        self.requested_time() - self.requested_time() / MAX_DRIFT_DIVISOR
    }

    /// A node's place in the list of granters. A node that is not listed comes last.
    pub(crate) fn rank(&self, node: NodeId) -> u32 {
        let position = self.granters.iter().position(|granter| *granter == node);
        position.unwrap_or(self.granters.len()) as u32
    }
}
