//! What a machine has, and how it is divided.

use base::ByteSize;

/// Percent of the memory for connections: their buffers, and heads of requests that arrive.
const CONNECTIONS_PERCENT: u64 = 30;

/// Percent of the memory for bodies of requests and answers. The rest is for the program and its
/// state.
const HOLDINGS_PERCENT: u64 = 45;

/// What one connection takes besides the head of a request, in bytes.
const CONNECTION_BYTES: u64 = 32 * 1024;

/// Descriptors that are no connections: files of the program and of its state.
const FILE_DESCRIPTORS: usize = 200;

/// The largest holding that counts as small, in bytes.
const SMALL_BYTES: u64 = 64 * 1024;

/// What a holding is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holding {
    /// The body of a request that has not been sent anywhere yet, or is being answered.
    Request,
    /// The body of an answer that its caller has not taken yet.
    Answer,
}

/// The memory and the descriptors that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Its memory.
    pub memory: ByteSize,
    /// The descriptors that a process may have open.
    pub descriptors: usize,
}

/// The part of one listener in the connections that a machine bears, in percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerShare {
    /// Of the memory for connections.
    pub memory: u64,
    /// Of the descriptors.
    pub descriptors: u64,
}

impl ListenerShare {
    /// All that a machine has.
    pub const ALL: Self = Self {
        memory: 100,
        descriptors: 100,
    };
}

impl Default for Machine {
    fn default() -> Self {
        Self {
            memory: ByteSize(1024 * 1024 * 1024),
            descriptors: usize::MAX,
        }
    }
}

impl Machine {
    /// The least memory with which a process runs.
    pub const MIN_MEMORY: ByteSize = ByteSize(64 * 1024 * 1024);

    /// The connections that a listener may have open, with heads of requests of at most
    /// `head_bytes`.
    pub fn max_connections(&self, share: ListenerShare, head_bytes: usize) -> usize {
        let bytes = self.memory.0 / 100 * CONNECTIONS_PERCENT / 100 * share.memory;
        let by_memory = bytes / (CONNECTION_BYTES + head_bytes as u64);
        let descriptors = self.descriptors.saturating_sub(FILE_DESCRIPTORS) as u64;
        let by_descriptors = descriptors / 100 * share.descriptors;
        let connections = by_memory.min(by_descriptors).max(1);
        usize::try_from(connections).unwrap_or(usize::MAX)
    }

    /// The largest body of a request that can be held, in bytes.
    pub fn largest_request(&self) -> usize {
        let bytes = self.room_for(Holding::Request, u64::MAX);
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }

    /// What small requests may hold though large answers take up what is meant for requests, in bytes.
    pub(crate) fn room_beside_answers(&self) -> u64 {
        self.holdings_percent(10)
    }

    /// What may be held by all together while requests hold no more than
    /// [`Self::room_beside_answers`] and a small one grows. Small answers have the rest.
    pub(crate) fn room_with_few_requests(&self) -> u64 {
        self.holdings_percent(95)
    }

    /// What may be held by all together if one holding grows to `bytes`. What is more important
    /// has more room, so that there is always some left for it.
    pub(crate) fn room_for(&self, holding: Holding, bytes: u64) -> u64 {
        let percent = match (holding, is_small(bytes)) {
            (Holding::Request, false) => 50,
            (Holding::Request, true) => 70,
            (Holding::Answer, false) => 85,
            (Holding::Answer, true) => 100,
        };
        self.holdings_percent(percent)
    }

    /// A part of the memory for bodies, in bytes.
    fn holdings_percent(&self, percent: u64) -> u64 {
        self.memory.0 / 100 * HOLDINGS_PERCENT / 100 * percent
    }
}

/// Whether a body of this length counts as small.
pub(crate) fn is_small(bytes: u64) -> bool {
    bytes <= SMALL_BYTES
}
