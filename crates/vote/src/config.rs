//! Settings, times and limits of a voter.

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

/// What a voter is told when it is opened.
#[derive(Clone, Debug)]
pub struct Config {
    /// This node.
    pub id: NodeId,
    /// The identity of its data folder.
    pub disk: DiskId,
    /// The voters in the settings. They form the group on its first start.
    pub voters: BTreeSet<NodeId>,
    /// Whether this node may take part in founding a group. After the first start of
    /// a deployment it only joins one that exists.
    pub founding: Founding,
    /// Seed of the random part of election times.
    pub seed: u64,
    /// Times.
    pub timing: Timing,
    /// Limits.
    pub limits: Limits,
}

/// Whether a node may take part in founding a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Founding {
    /// With the other voters of the settings, if all their disks are empty.
    #[default]
    Allowed,
    /// Never.
    Forbidden,
}

/// Times of a voter.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Between two heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// A voter grants no vote within this time of hearing from a leader.
    pub election_timeout_min: Duration,
    /// The longest silence before a voter asks for votes.
    pub election_timeout_max: Duration,
    /// How long a heartbeat that a majority has answered lets the leader answer.
    /// Shorter than `election_min` by what clocks may drift apart.
    pub lease_duration: Duration,
    /// After this time without an answer entries are sent again.
    pub resend_after: Duration,
    /// Between two announcements of a voter without a group.
    pub hello_interval: Duration,
    /// How long such an announcement counts.
    pub hello_valid_for: Duration,
    /// A voter whose disk takes longer neither leads nor asks for votes.
    pub disk_stall_after: Duration,
}

/// Limits of a voter, in bytes.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Entries in one message, unless a single one is larger.
    pub append_bytes: usize,
    /// A piece of a snapshot in one message.
    pub chunk_bytes: usize,
    /// One command.
    pub command_bytes: usize,
    /// Commands that a leader takes before they are committed.
    pub uncommitted_bytes: usize,
    /// Records waiting for the disk beyond which a follower takes no entries.
    pub unsynced_bytes: usize,
    /// A snapshot.
    pub snapshot_bytes: u64,
    /// Entries before the snapshot that stay for followers a little behind.
    pub kept_log_bytes: usize,
}

impl Config {
    /// The settings of one voter among these, with the usual times and limits.
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
