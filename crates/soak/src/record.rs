//! What callers, operators and services observed during a run.

use std::collections::BTreeMap;

use base::NodeId;

/// What a caller learned about one attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call ran, and the service answered.
    Ran,
    /// The call did not run and never will.
    DidNotRun,
    /// The call may have run.
    Unknown,
    /// There was no reply, because the connection broke.
    NoReply,
}

/// A call with an idempotency key, sent once or more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedCall {
    /// The name of the service.
    pub service: String,
    /// The key, unique to this call.
    pub key: String,
    /// The outcome of each attempt, in order.
    pub outcomes: Vec<CallOutcome>,
}

/// A streamed chat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chat {
    /// The prompt, unique to this chat.
    pub prompt: String,
    /// The number of tokens asked for.
    pub tokens: u32,
    /// The text received.
    pub text: String,
    /// Whether the stream was closed by its end marker.
    pub is_done: bool,
}

/// The version of the configuration in force that a node reported at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionSample {
    /// The node.
    pub node: NodeId,
    /// How many times its process had been restarted.
    pub incarnation: u32,
    /// The version in force.
    pub version: u64,
}

/// Everything observed in a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Calls with idempotency keys.
    pub keyed_calls: Vec<KeyedCall>,
    /// Streamed chats.
    pub chats: Vec<Chat>,
    /// Reported versions, in the order of observation.
    pub version_samples: Vec<VersionSample>,
    /// The newest version of the configuration that the voters accepted.
    pub accepted: u64,
    /// How often each service ran each key.
    pub runs: BTreeMap<String, BTreeMap<String, u64>>,
    /// The version in force at each node after all faults have ended.
    pub final_versions: BTreeMap<NodeId, u64>,
}
