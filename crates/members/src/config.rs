//! Settings of the membership.

use std::time::Duration;

use crate::Peer;
use base::Incarnation;

/// Who this node is and whom it knows at the start.
#[derive(Clone, Debug)]
pub struct Config {
    /// This node.
    pub me: Peer,
    /// This process's life, larger than in any earlier life.
    pub incarnation: Incarnation,
    /// Other nodes known from the settings. More are learned from them.
    pub seeds: Vec<Peer>,
    /// Seed of the choice of peers.
    pub seed: u64,
    /// Intervals and limits, equal on all nodes.
    pub timing: Timing,
}

/// Intervals and limits of the exchange.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Members of the own data centre probed in a second, at most.
    pub probes_per_second: u32,
    /// Time after which an unanswered probe is sent again.
    pub resend_after: Duration,
    /// Time after which others are asked to probe.
    pub indirect_after: Duration,
    /// Time after which a probe has failed.
    pub probe_limit: Duration,
    /// Time a suspected member has to refute.
    pub suspicion: Duration,
    /// Time for which an answer outweighs the claims of others.
    pub evidence: Duration,
    /// Time between two probes of one contact in another data centre.
    pub link_every: Duration,
    /// Time between two reports of a data centre to the others.
    pub beat_every: Duration,
    /// Time without news after which any of a data centre's members is pinged.
    pub centre_quiet: Duration,
    /// Time without news after which a data centre's members are suspect.
    pub centre_suspect: Duration,
    /// Time without news after which a data centre's members count as dead.
    pub centre_dead: Duration,
    /// Time between two sends of the same rumor to the same member.
    pub repeat_after: Duration,
    /// Bytes a second a node sends, headers included.
    pub send_rate: u32,
    /// Bytes a node may send at once.
    pub send_burst: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probes_per_second: 4,
            resend_after: Duration::from_millis(300),
            indirect_after: Duration::from_millis(600),
            probe_limit: Duration::from_millis(1_500),
            suspicion: Duration::from_secs(4),
            evidence: Duration::from_millis(4_500),
            link_every: Duration::from_secs(2),
            beat_every: Duration::from_secs(3),
            centre_quiet: Duration::from_secs(7),
            centre_suspect: Duration::from_secs(10),
            centre_dead: Duration::from_secs(20),
            repeat_after: Duration::from_millis(300),
            send_rate: 5_000,
            send_burst: 16_000,
        }
    }
}
