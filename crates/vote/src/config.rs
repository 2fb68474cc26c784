//! The configuration of a voter: its identity, timing and limits.

use std::collections::BTreeSet;
use std::time::Duration;

use base::DiskId;
use base::NodeId;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(700);
const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(1400);
const LEASE_DURATION: Duration = Duration::from_millis(600);
const RESEND_AFTER: Duration = Duration::from_millis(300);
const HELLO_INTERVAL: Duration = Duration::from_millis(50);
const HELLO_VALID_FOR: Duration = Duration::from_secs(1);
const DISK_STALL_AFTER: Duration = Duration::from_secs(2);

const MAX_APPEND_BYTES: usize = 256 << 10;
const MAX_CHUNK_BYTES: usize = 64 << 10;
const MAX_COMMAND_BYTES: usize = 4 << 20;
const MAX_UNCOMMITTED_BYTES: usize = 16 << 20;
const MAX_UNSYNCED_BYTES: usize = 16 << 20;
const MAX_SNAPSHOT_BYTES: u64 = 256 << 20;
const KEPT_LOG_BYTES: usize = 256 << 10;

/// The configuration of a voter.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node this voter runs on.
    pub id: NodeId,
    /// The identity of the node's data folder.
    pub disk: DiskId,
    /// The configured voters. They form the group on the first start.
    pub voters: BTreeSet<NodeId>,
    /// Whether this node may take part in forming a group.
    pub founding: Founding,
    /// The seed for random election timeouts.
    pub seed: u64,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Size limits.
    pub limits: Limits,
}

/// Whether a node may take part in forming a group. After the first start of a
/// deployment it only joins an existing one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Founding {
    /// The node may form a group, if the disks of all configured voters are empty.
    #[default]
    Allowed,
    /// The node may only join an existing group.
    Forbidden,
}

/// Intervals and timeouts of a voter.
#[derive(Clone, Debug)]
pub struct Timing {
    /// The time between two heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// The shortest election timeout. A voter also grants no vote within this time
    /// of hearing from a leader.
    pub election_timeout_min: Duration,
    /// The longest time without a leader before a voter asks for votes.
    pub election_timeout_max: Duration,
    /// How long a heartbeat answered by a majority allows the leader to answer from
    /// its state. Shorter than `election_timeout_min` to allow for clock drift.
    pub lease_duration: Duration,
    /// The time without an answer after which entries are sent again.
    pub resend_after: Duration,
    /// The time between two hello messages of a voter without a group.
    pub hello_interval: Duration,
    /// How long a received hello message stays valid.
    pub hello_valid_for: Duration,
    /// The time after which a write counts as stalled. A voter with a stalled disk
    /// neither leads nor asks for votes.
    pub disk_stall_after: Duration,
}

/// Size limits of a voter, in bytes.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Entries in one message; a single larger entry is still sent.
    pub append_bytes: usize,
    /// The chunk of a snapshot in one message.
    pub chunk_bytes: usize,
    /// A single command.
    pub command_bytes: usize,
    /// Uncommitted entries; above this a leader refuses commands.
    pub uncommitted_bytes: usize,
    /// Entries waiting for the disk; above this a follower ignores new ones.
    pub unsynced_bytes: usize,
    /// The state in a snapshot.
    pub snapshot_bytes: u64,
    /// Entries older than the snapshot that are kept for followers a little behind.
    pub kept_log_bytes: usize,
}

impl Config {
    /// The configuration of a voter with the default timing and limits.
    pub fn new(id: NodeId, disk: DiskId, voters: impl IntoIterator<Item = NodeId>) -> Self {
        Self {
            id,
            disk,
            voters: voters.into_iter().collect(),
            founding: Founding::Allowed,
            seed: disk.0,
            timing: Timing::default(),
            limits: Limits::default(),
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout_min: ELECTION_TIMEOUT_MIN,
            election_timeout_max: ELECTION_TIMEOUT_MAX,
            lease_duration: LEASE_DURATION,
            resend_after: RESEND_AFTER,
            hello_interval: HELLO_INTERVAL,
            hello_valid_for: HELLO_VALID_FOR,
            disk_stall_after: DISK_STALL_AFTER,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            append_bytes: MAX_APPEND_BYTES,
            chunk_bytes: MAX_CHUNK_BYTES,
            command_bytes: MAX_COMMAND_BYTES,
            uncommitted_bytes: MAX_UNCOMMITTED_BYTES,
            unsynced_bytes: MAX_UNSYNCED_BYTES,
            snapshot_bytes: MAX_SNAPSHOT_BYTES,
            kept_log_bytes: KEPT_LOG_BYTES,
        }
    }
}
