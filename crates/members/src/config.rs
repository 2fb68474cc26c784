//! Settings of a node's membership.

use std::time::Duration;

use crate::Peer;
use base::Incarnation;

/// This node's identity, the nodes it knows at the start, and the timing.
#[derive(Clone, Debug)]
pub struct Config {
    /// This node.
    pub me: Peer,
    /// This process's incarnation, larger than any earlier one of this node.
    pub incarnation: Incarnation,
    /// Other nodes known from the settings. More are learned from them.
    pub seed_peers: Vec<Peer>,
    /// Seed of the random choices.
    pub rng_seed: u64,
    /// Intervals and limits, equal on all nodes.
    pub timing: Timing,
}

/// Intervals and limits of the exchange.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// The most members of the own data centre probed in a second.
    pub probes_per_second: u32,
    /// Time after which an unanswered probe is sent again.
    pub probe_resend_after: Duration,
    /// Time after which other members are asked to ping the target.
    pub indirect_probe_after: Duration,
    /// Time after which a probe has failed.
    pub probe_timeout: Duration,
    /// Time that a suspected member has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Time for which an answer outweighs claims that its sender is suspect or dead.
    pub answer_validity: Duration,
    /// Time between two pings of a contact in another data centre.
    pub contact_ping_interval: Duration,
    /// Time between two reports of a data centre's versions to the others.
    pub centre_report_interval: Duration,
    /// Time without news after which any of a data centre's members is pinged.
    pub centre_quiet_after: Duration,
    /// Time without news after which a data centre's members count as suspect.
    pub centre_suspect_after: Duration,
    /// Time without news after which a data centre's members count as dead.
    pub centre_dead_after: Duration,
    /// Time between two sends of the same rumor to the same member.
    pub rumor_repeat_after: Duration,
    /// Bytes that a node sends in a second, headers included.
    pub send_bytes_per_second: u32,
    /// Bytes that a node may send at once.
    pub send_burst_bytes: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probes_per_second: 4,
            probe_resend_after: Duration::from_millis(300),
            indirect_probe_after: Duration::from_millis(600),
            probe_timeout: Duration::from_millis(1_500),
            suspicion_timeout: Duration::from_secs(4),
            answer_validity: Duration::from_millis(4_500),
            contact_ping_interval: Duration::from_secs(2),
            centre_report_interval: Duration::from_secs(3),
            centre_quiet_after: Duration::from_secs(7),
            centre_suspect_after: Duration::from_secs(10),
            centre_dead_after: Duration::from_secs(20),
            rumor_repeat_after: Duration::from_millis(300),
            send_bytes_per_second: 5_000,
            send_burst_bytes: 16_000,
        }
    }
}
