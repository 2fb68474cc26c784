//! How long callers' keys may be believed without news.
//!
//! A key that was taken away must stop to count within a bound. An entry host that is cut
//! off or was frozen cannot know of it, so it believes keys only for a part of the bound
//! after it last asked somebody who had a majority's word.

use std::time::Duration;

use base::Time;

/// Part of the bound that an entry host may be without news. The rest is for requests that
/// are on their way.
const SHARE: f64 = 0.85;

/// How long callers' keys may be believed without news.
#[derive(Clone, Copy, Debug)]
pub struct KeyFreshness {
    /// A key that was taken away must stop to count within this time.
    bound: Duration,
    /// When a majority last stood behind the configuration.
    confirmed: Option<Time>,
}

impl KeyFreshness {
    /// Nothing is known yet.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            confirmed: None,
        }
    }

    /// Takes an answer: a majority stood behind it `ago` before it was `asked` for. The time
    /// of the answer itself says nothing, as it may have waited somewhere.
    pub fn confirm(&mut self, asked: Time, ago: Duration) {
        let at = asked - ago;
        self.confirmed = Some(self.confirmed.map_or(at, |known| known.max(at)));
    }

    /// How long ago a majority was last known to stand behind the configuration.
    pub fn confirmed_ago(&self, now: Time) -> Duration {
        self.confirmed.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Whether keys may still be believed.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.confirmed_ago(now) <= self.bound.mul_f64(SHARE)
    }
}
