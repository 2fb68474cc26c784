//! Settings of the lease, equal on all nodes of one data centre.

use std::time::Duration;

use base::NodeId;

/// The longest lease that may be asked for. A granter without memory stays
/// silent for this long after its start.
pub const MAX_LEASE_TIME: Duration = Duration::from_secs(6);

/// Two clocks may drift apart by one part in this many over a lease.
pub const MAX_DRIFT_DIVISOR: u32 = 50;

/// Who grants the lease and how often it is renewed.
#[derive(Clone, Debug)]
pub struct Config {
    /// The nodes that grant, in the order in which they should be controller.
    pub granters: Vec<NodeId>,
    /// The length of a lease, at most [`MAX_LEASE_TIME`].
    pub lease_time: Duration,
    /// Time between two renewals.
    pub renew_interval: Duration,
    /// Time between two sends of an ask that was not answered.
    pub resend_interval: Duration,
    /// Time after which a bid without a majority is withdrawn.
    pub bid_timeout: Duration,
    /// Extra wait before a bid for each place further down the list.
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

    /// How many granters make a majority.
    pub fn majority(&self) -> usize {
        self.granters.len() / 2 + 1
    }

    /// The length of a lease as it is asked for.
    pub(crate) fn requested_time(&self) -> Duration {
        self.lease_time.min(MAX_LEASE_TIME)
    }

    /// The length of a lease as the holder counts it.
    pub(crate) fn held_time(&self) -> Duration {
        self.requested_time() - self.requested_time() / MAX_DRIFT_DIVISOR
    }

    /// A node's place in the list. One that is not listed comes last.
    pub(crate) fn rank(&self, node: NodeId) -> u32 {
        let place = self.granters.iter().position(|granter| *granter == node);
        place.unwrap_or(self.granters.len()) as u32
    }
}
