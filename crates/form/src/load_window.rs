//! Limits how many loads from the weight store begin in any time window.

use std::collections::VecDeque;
use std::time::Duration;

use base::Time;

/// The loads that began within the last time window.
#[derive(Clone, Debug, Default)]
pub struct LoadWindow {
    begun: VecDeque<Time>,
}

impl LoadWindow {
    /// How many more loads may begin now, if at most `limit` may begin in any `window`.
    pub fn remaining(&mut self, limit: usize, window: Duration, now: Time) -> usize {
        while self.begun.front().is_some_and(|at| *at + window <= now) {
            self.begun.pop_front();
        }
        limit.saturating_sub(self.begun.len())
    }

    /// Records a load that begins now.
    pub fn record_start(&mut self, now: Time) {
        self.begun.push_back(now);
    }
}
