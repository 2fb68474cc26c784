//! How much the state may hold.

use serde::Deserialize;
use serde::Serialize;

/// How much the state may hold. It is part of the state, the same on every voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of all records together.
    pub ledger_bytes: u64,
    /// Bytes of one organisation's records.
    pub org_bytes: u64,
    /// Bytes of one kept answer.
    pub answer_bytes: u64,
    /// Bytes of one configuration.
    pub text_bytes: u64,
    /// Accepted changes whose ids are remembered.
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
