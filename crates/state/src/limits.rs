//! Limits of the size of the state.

use serde::Deserialize;
use serde::Serialize;

/// Limits of the size of the state. As a part of it, they are the same on every voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest size of all ledger records, in bytes.
    pub ledger_bytes: u64,
    /// The largest size of one organisation's records, in bytes.
    pub org_bytes: u64,
    /// The largest size of an answer that is stored with its body, in bytes.
    pub answer_bytes: u64,
    /// The largest size of a configuration, in bytes.
    pub text_bytes: u64,
    /// The number of latest accepted changes that are kept to answer resends.
    pub changes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            ledger_bytes: 64 << 20,
            org_bytes: 32 << 20,
            answer_bytes: 16 << 10,
            text_bytes: 4 << 20,
            changes: 65_536,
        }
    }
}
