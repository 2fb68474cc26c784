//! How long callers' keys may be trusted without an update.
//!
//! A revoked key must stop working within a time limit. An entry host that is cut off or was
//! frozen cannot learn of the revocation, so it trusts keys only for a part of the limit
//! after it last asked a control host that was confirmed by a majority.

use std::time::Duration;

use base::Time;

/// Part of the limit for which an entry host trusts keys without an update. The rest is for
/// requests that are already being processed.
const TRUSTED_SHARE: f64 = 0.85;

/// Tracks how recently a majority confirmed the configuration, which holds callers' keys.
#[derive(Clone, Copy, Debug)]
pub struct KeyFreshness {
    /// A revoked key must stop working within this time.
    revoke_within: Duration,
    /// When a majority last confirmed the configuration.
    confirmed: Option<Time>,
}

impl KeyFreshness {
    /// Starts without a confirmation, so no key is trusted yet.
    pub fn new(revoke_within: Duration) -> Self {
        Self {
            revoke_within,
            confirmed: None,
        }
    }

    /// Records the answer to a request sent at `asked`: a majority had confirmed the
    /// configuration `ago` before. The time of arrival does not count, because the answer may
    /// have been delayed on its way.
    pub fn confirm(&mut self, asked: Time, ago: Duration) {
        let at = asked - ago;
        self.confirmed = Some(self.confirmed.map_or(at, |known| known.max(at)));
    }

    /// How long ago a majority last confirmed the configuration, as far as is known.
    pub fn confirmed_ago(&self, now: Time) -> Duration {
        self.confirmed.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Whether keys may still be trusted.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.confirmed_ago(now) <= self.revoke_within.mul_f64(TRUSTED_SHARE)
    }
}
