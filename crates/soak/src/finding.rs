//! Violated guarantees.

use derive_more::Display;

use base::NodeId;

/// A violated guarantee, with what identifies its evidence.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Finding {
    /// A service ran the call of one key more than once.
    #[display("AT MOST ONCE: {service} ran key {key} {runs} times")]
    RanMoreThanOnce {
        /// The name of the service.
        service: String,
        /// The idempotency key.
        key: String,
        /// How many times the service ran it.
        runs: u64,
    },
    /// A caller was told that a call ran, but its service never ran it.
    #[display("TRUTH: key {key} was answered as run, but {service} never ran it")]
    ReportedRunDidNotRun {
        /// The name of the service.
        service: String,
        /// The idempotency key.
        key: String,
    },
    /// A caller was told on every attempt that a call did not run, but it ran.
    #[display("TRUTH: key {key} was refused as not run each time, but {service} ran it")]
    RefusedCallRan {
        /// The name of the service.
        service: String,
        /// The idempotency key.
        key: String,
    },
    /// A stream held text that is not the engine's answer to its prompt.
    #[display("STREAM: the answer to {prompt:?} has a wrong text, {got:?}")]
    WrongText {
        /// The prompt, unique to this chat.
        prompt: String,
        /// The text received.
        got: String,
    },
    /// A node went back to an older configuration without a restart.
    #[display("CONFIGURATION: {node} went from v{from} back to v{to} without a restart")]
    VersionWentBack {
        /// The node.
        node: NodeId,
        /// The version it had before.
        from: u64,
        /// The older version it had later.
        to: u64,
    },
    /// A node has an older configuration than the newest accepted one after all faults.
    #[display(
        "CONFIGURATION: v{accepted} was accepted, but {node} has v{version} after all faults"
    )]
    AcceptedVersionLost {
        /// The node.
        node: NodeId,
        /// The newest accepted version.
        accepted: u64,
        /// The version in force at the node.
        version: u64,
    },
    /// A node does not serve after all faults have ended.
    #[display("RECOVERY: {node} does not serve {what} after all faults have ended")]
    DoesNotServe {
        /// The node.
        node: NodeId,
        /// The service it was asked for, or `chat`.
        what: String,
    },
    /// A node's process exited without being told to.
    #[display("FAULT: {node} exited unexpectedly")]
    ExitedUnexpectedly {
        /// The node.
        node: NodeId,
    },
}
