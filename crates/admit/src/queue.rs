//! What waits and runs of one model at this node.

use std::collections::BTreeMap;
use std::time::Duration;

use route::Length;

use crate::lane::Lane;
use crate::lane::Standing;
use crate::lane::Waiting;
use crate::length::Usual;

/// Weight of one answer in the mean time that a request holds a slot.
const LEARN: f64 = 0.05;

/// What waits and runs of one model at this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    lanes: BTreeMap<(Standing, Length), Lane>,
    running: BTreeMap<Length, Running>,
    pub usual: Usual,
    /// This node's part of all nodes' long work.
    pub long_share: f64,
}

/// What runs of one length.
#[derive(Clone, Copy, Debug)]
struct Running {
    count: u32,
    /// Seconds that a request holds a slot.
    residence: f64,
}

impl Default for Running {
    fn default() -> Self {
        Self {
            count: 0,
            residence: 1.0,
        }
    }
}

impl Queue {
    pub fn lane(&mut self, standing: Standing, length: Length) -> &mut Lane {
        self.lanes.entry((standing, length)).or_default()
    }

    pub fn lane_of(&mut self, waiting: &Waiting) -> &mut Lane {
        self.lane(waiting.standing, waiting.length)
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.lanes.values().map(Lane::len).sum()
    }

    /// Requests of a length that wait.
    pub fn waiting(&self, length: Length) -> usize {
        let lanes = self.lanes.iter().filter(|((_, l), _)| *l == length);
        lanes.map(|(_, lane)| lane.len()).sum()
    }

    /// Requests of a length that run.
    pub fn running(&self, length: Length) -> u32 {
        self.running.get(&length).map_or(0, |r| r.count)
    }

    pub fn started(&mut self, length: Length) {
        self.running.entry(length).or_default().count += 1;
    }

    pub fn ended(&mut self, length: Length) {
        let running = self.running.entry(length).or_default();
        running.count = running.count.saturating_sub(1);
    }

    /// Learns how long a request held its slot.
    pub fn held(&mut self, length: Length, span: Duration) {
        let running = self.running.entry(length).or_default();
        running.residence += LEARN * (span.as_secs_f64() - running.residence);
    }

    /// Requests of a length that this node's slots can start a second: by Little's law
    /// what runs over how long it runs.
    pub fn drain(&self, length: Length) -> f64 {
        let running = self.running.get(&length).copied().unwrap_or_default();
        f64::from(running.count.max(1)) / running.residence.max(1e-3)
    }

    /// Seconds until a new request would be sent.
    pub fn wait(&self, waiting: &Waiting) -> f64 {
        let drain = self.drain(waiting.length);
        let first = match waiting.standing {
            Standing::Within => 0.0,
            Standing::Beyond => self.len_within(waiting.length),
        };
        let lane = self.lanes.get(&(waiting.standing, waiting.length));
        let ahead = lane.map_or(0.0, |lane| lane.ahead(waiting));
        (first + ahead) / drain
    }

    fn len_within(&self, length: Length) -> f64 {
        let lane = self.lanes.get(&(Standing::Within, length));
        lane.map_or(0.0, |lane| lane.len() as f64)
    }

    /// Takes out the requests that can no longer be answered in time. `is_hopeless` is
    /// given the request and the seconds until it would be sent.
    pub fn take_hopeless(
        &mut self,
        mut is_hopeless: impl FnMut(&Waiting, f64) -> bool,
    ) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for length in [Length::Short, Length::Long] {
            let drain = self.drain(length);
            let mut first = 0.0;
            for standing in [Standing::Within, Standing::Beyond] {
                let Some(lane) = self.lanes.get_mut(&(standing, length)) else {
                    continue;
                };
                let keep = |w: &Waiting, ahead: f64| !is_hopeless(w, (first + ahead) / drain);
                taken.extend(lane.retain(keep));
                first += lane.len() as f64;
            }
        }
        taken
    }
}
