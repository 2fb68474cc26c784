//! What callers and services saw.

use std::collections::BTreeMap;

use base::NodeId;

/// What a caller was told of one send of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// It ran, and this is its answer.
    Run,
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
    /// Nothing: the connection broke.
    Nothing,
}

/// A call under a key, sent once or more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: String,
    /// Its key, which no other call has.
    pub key: String,
    /// What was said of each send.
    pub said: Vec<Said>,
}

/// A streamed chat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chat {
    /// Its prompt, which no other chat has.
    pub prompt: String,
    /// The tokens asked for.
    pub tokens: u32,
    /// The text that came.
    pub text: String,
    /// Whether the stream had its end marker.
    pub is_done: bool,
}

/// A configuration's version as a node showed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The node.
    pub node: NodeId,
    /// Counts the starts of its process.
    pub life: u32,
    /// The version in force.
    pub version: u64,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Calls under keys.
    pub orders: Vec<Order>,
    /// Streamed chats.
    pub chats: Vec<Chat>,
    /// Versions in the order in which they were seen.
    pub seen: Vec<Seen>,
    /// The newest version that was accepted.
    pub accepted: u64,
    /// How often each service ran each key.
    pub runs: BTreeMap<String, BTreeMap<String, u64>>,
    /// The version at each node after all faults.
    pub last: BTreeMap<NodeId, u64>,
}
