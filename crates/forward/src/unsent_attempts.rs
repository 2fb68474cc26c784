//! Decides whether a request is tried again after an attempt that was never sent.
//!
//! Such attempts cost upstreams nothing, and each one keeps later requests away from where it
//! failed. So a request goes on while a target is believed sound. This decides under a normal load
//! of requests while many of the known processes are out of reach.

/// Attempts after which a request goes on only if a target is believed sound.
const MAX_ATTEMPTS: u32 = 4;

/// The most attempts of one request that are never sent. Bounds the connections that a request opens
/// while most processes are out of reach.
const MAX_ATTEMPTS_AT_HEALTHY: u32 = 16;

/// The attempts of one request that were never sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnsentAttempts(u32);

impl UnsentAttempts {
    /// Counts an attempt that was not sent.
    pub fn record(&mut self) {
        self.0 += 1;
    }

    /// Whether another attempt may follow. `has_healthy` says whether a target is left that the
    /// request may go to and that has not failed lately.
    pub fn may_try_again(self, has_healthy: bool) -> bool {
        let max = match has_healthy {
            true => MAX_ATTEMPTS_AT_HEALTHY,
            false => MAX_ATTEMPTS,
        };
        self.0 < max
    }

    /// Whether targets that have answered before go first.
    pub fn prefers_proven(self) -> bool {
        0 < self.0
    }
}
