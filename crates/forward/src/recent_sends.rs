//! What an entry host sent to a target in the time that load reports take.

use std::collections::VecDeque;
use std::time::Duration;

use base::Time;

/// About the age of load reports.
const WINDOW: Duration = Duration::from_millis(100);

/// The prompts that were sent to a target lately.
#[derive(Clone, Debug, Default)]
pub struct RecentSends(VecDeque<(Time, f64)>);

impl RecentSends {
    /// Records a prompt that takes `prompt_secs` seconds to read.
    pub fn record(&mut self, prompt_secs: f64, now: Time) {
        while self.0.front().is_some_and(|(at, _)| *at + WINDOW <= now) {
            self.0.pop_front();
        }
        self.0.push_back((now, prompt_secs));
    }

    /// The time to read all prompts of the window, in seconds.
    pub fn prompt_secs(&self, now: Time) -> f64 {
        let recent = self.0.iter().filter(|(at, _)| now < *at + WINDOW);
        recent.map(|(_, prompt_secs)| prompt_secs).sum()
    }
}
