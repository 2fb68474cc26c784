//! Keeps loads from the weight store under its rate, in every window.

use std::collections::VecDeque;
use std::time::Duration;

use base::Time;

/// LoadWindow that began lately.
#[derive(Clone, Debug, Default)]
pub struct LoadWindow {
    begun: VecDeque<Time>,
}

impl LoadWindow {
    /// How many more may begin now, if at most `most` may begin in any `window`.
    pub fn remaining(&mut self, most: usize, window: Duration, now: Time) -> usize {
        while self.begun.front().is_some_and(|at| *at + window <= now) {
            self.begun.pop_front();
        }
        most.saturating_sub(self.begun.len())
    }

    /// Counts one that begins now.
    pub fn record_start(&mut self, now: Time) {
        self.begun.push_back(now);
    }
}
