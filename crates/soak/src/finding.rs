//! Promises that were broken.

use derive_more::Display;

use base::NodeId;

/// A broken promise, with what names its evidence.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Finding {
    /// A call under one key ran more than once.
    #[display("AT MOST ONCE: {service} ran key {key} {runs} times")]
    RanAgain {
        /// The service.
        service: String,
        /// The key.
        key: String,
        /// How often it ran.
        runs: u64,
    },
    /// A caller was told that a call ran, but its service did not see it.
    #[display("TRUTH: key {key} was answered as run, but {service} never ran it")]
    DidNotRun {
        /// The service.
        service: String,
        /// The key.
        key: String,
    },
    /// A caller was told each time that a call did not run, but it did.
    #[display("TRUTH: key {key} was refused as not run each time, but {service} ran it")]
    DidRun {
        /// The service.
        service: String,
        /// The key.
        key: String,
    },
    /// A stream held something that its engine did not make for it.
    #[display("STREAM: the answer to {prompt:?} has a wrong text, {got:?}")]
    WrongText {
        /// The prompt, which no other chat has.
        prompt: String,
        /// The text that came.
        got: String,
    },
    /// A node went back to an older configuration in one life.
    #[display("CONFIGURATION: {node} went from v{from} back to v{to} in one life")]
    WentBack {
        /// The node.
        node: NodeId,
        /// What it had.
        from: u64,
        /// What it had later.
        to: u64,
    },
    /// An accepted configuration is in force nowhere near.
    #[display("CONFIGURATION: v{accepted} was accepted, but {node} has v{has} after all faults")]
    Forgotten {
        /// The node.
        node: NodeId,
        /// What was accepted.
        accepted: u64,
        /// What it has.
        has: u64,
    },
    /// A node does not serve after all faults have ended.
    #[display("RECOVERY: {node} does not serve {what} after all faults have ended")]
    DoesNotServe {
        /// The node.
        node: NodeId,
        /// What it was asked for.
        what: String,
    },
    /// A node ended without being told to.
    #[display("FAULT: {node} ended by itself")]
    Ended {
        /// The node.
        node: NodeId,
    },
}
