//! Settings, times and limits of a voter.

use std::collections::BTreeSet;
use std::time::Duration;

use base::DiskId;
use base::NodeId;

const HEARTBEAT: Duration = Duration::from_millis(150);
const ELECTION_MIN: Duration = Duration::from_millis(700);
const ELECTION_MAX: Duration = Duration::from_millis(1400);
const LEASE: Duration = Duration::from_millis(600);
const RETRY: Duration = Duration::from_millis(300);
const HELLO: Duration = Duration::from_millis(50);
const HELLO_VALID: Duration = Duration::from_secs(1);
const DISK_STALL: Duration = Duration::from_secs(2);

const APPEND_BYTES: usize = 256 << 10;
const CHUNK_BYTES: usize = 64 << 10;
const COMMAND_BYTES: usize = 4 << 20;
const UNCOMMITTED_BYTES: usize = 16 << 20;
const UNSYNCED_BYTES: usize = 16 << 20;
const SNAPSHOT_BYTES: u64 = 256 << 20;
const KEPT_BYTES: usize = 256 << 10;

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
    pub heartbeat: Duration,
    /// A voter grants no vote within this time of hearing from a leader.
    pub election_min: Duration,
    /// The longest silence before a voter asks for votes.
    pub election_max: Duration,
    /// How long a heartbeat that a majority has answered lets the leader answer.
    /// Shorter than `election_min` by what clocks may drift apart.
    pub lease: Duration,
    /// After this time without an answer entries are sent again.
    pub retry: Duration,
    /// Between two announcements of a voter without a group.
    pub hello: Duration,
    /// How long such an announcement counts.
    pub hello_valid: Duration,
    /// A voter whose disk takes longer neither leads nor asks for votes.
    pub disk_stall: Duration,
}

/// Limits of a voter, in bytes.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Entries in one message, unless a single one is larger.
    pub append: usize,
    /// A piece of a snapshot in one message.
    pub chunk: usize,
    /// One command.
    pub command: usize,
    /// Commands that a leader takes before they are committed.
    pub uncommitted: usize,
    /// Records waiting for the disk beyond which a follower takes no entries.
    pub unsynced: usize,
    /// A snapshot.
    pub snapshot: u64,
    /// Entries before the snapshot that stay for followers a little behind.
    pub kept: usize,
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
            heartbeat: HEARTBEAT,
            election_min: ELECTION_MIN,
            election_max: ELECTION_MAX,
            lease: LEASE,
            retry: RETRY,
            hello: HELLO,
            hello_valid: HELLO_VALID,
            disk_stall: DISK_STALL,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            append: APPEND_BYTES,
            chunk: CHUNK_BYTES,
            command: COMMAND_BYTES,
            uncommitted: UNCOMMITTED_BYTES,
            unsynced: UNSYNCED_BYTES,
            snapshot: SNAPSHOT_BYTES,
            kept: KEPT_BYTES,
        }
    }
}
