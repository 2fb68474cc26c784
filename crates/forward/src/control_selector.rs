//! Which control host an entry host follows.
//!
//! The nearest one, while it answers and a majority stands behind what it knows. From
//! another one it goes back once the nearest answers again: what is known between data
//! centres costs more.

use std::time::Duration;

use base::NodeId;
use base::Time;

/// Time between two tries to find a control host that is not cut off.
const SWITCH_INTERVAL: Duration = Duration::from_secs(2);

/// How long another control host is followed before the nearest one is asked again.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// The control hosts that an entry host knows, and the one that it follows.
#[derive(Clone, Debug)]
pub struct ControlSelector {
    me: NodeId,
    known: Vec<NodeId>,
    /// Moves on along the hosts in their order. At zero it is the nearest one.
    offset: usize,
    no_switch_before: Time,
    next_probe_at: Time,
}

impl ControlSelector {
    /// Follows the nearest of the seeds. Those with a number like `me` are near.
    pub fn new(me: NodeId) -> Self {
        Self {
            me,
            known: Vec::new(),
            offset: 0,
            no_switch_before: Time::ZERO,
            next_probe_at: Time::ZERO,
        }
    }

    /// Takes the control hosts that one of them knows.
    pub fn set_controls(&mut self, known: Vec<NodeId>) {
        self.known = known;
    }

    /// The control host to ask now: of the seeds and all that were known.
    pub fn current(&self, seeds: &[NodeId]) -> Option<NodeId> {
        let all = self.by_distance(seeds);
        all.get(self.offset % all.len().max(1)).copied()
    }

    /// Moves on, because the control host does not answer.
    pub fn record_failure(&mut self, now: Time) {
        self.offset += 1;
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    /// Takes that the control host is cut off from the majority. Moves on, unless that was
    /// done lately: all may be.
    pub fn record_cut_off(&mut self, now: Time) {
        if self.no_switch_before <= now {
            self.no_switch_before = now + SWITCH_INTERVAL;
            self.record_failure(now);
        }
    }

    /// The nearest control host, if another one is followed and it is time to ask whether
    /// the nearest answers again.
    pub fn nearest_to_probe(&mut self, seeds: &[NodeId], now: Time) -> Option<NodeId> {
        let nearest = self.by_distance(seeds).first().copied()?;
        if now < self.next_probe_at || self.current(seeds) == Some(nearest) {
            return None;
        }
        self.next_probe_at = now + PROBE_INTERVAL;
        Some(nearest)
    }

    /// Follows the nearest one again.
    pub fn return_to_nearest(&mut self) {
        self.offset = 0;
    }

    fn by_distance(&self, seeds: &[NodeId]) -> Vec<NodeId> {
        let mut all: Vec<NodeId> = seeds.to_vec();
        all.extend(&self.known);
        all.sort_by_key(|id| (id.0 ^ self.me.0, *id));
        all.dedup();
        all
    }
}
