//! Chooses the control host that an entry host follows.
//!
//! That is the nearest one, as long as it answers and is in contact with a majority. An entry
//! host that follows another one returns once the nearest answers again, because traffic
//! between data centres costs more.

use std::time::Duration;

use base::NodeId;
use base::Time;

/// The shortest time between two switches away from control hosts that are cut off from the
/// majority.
const SWITCH_INTERVAL: Duration = Duration::from_secs(2);

/// How long another control host is followed before the nearest one is probed again.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// The control hosts that an entry host knows, and the one that it follows. The seeds of the
/// settings are passed to each call.
#[derive(Clone, Debug)]
pub struct ControlSelector {
    me: NodeId,
    /// Control hosts that the followed one reported.
    reported: Vec<NodeId>,
    /// Position of the followed host in the order of distance, modulo the number of hosts. Zero
    /// is the nearest one.
    offset: usize,
    /// Hosts that are cut off are not left before this time.
    no_switch_before: Time,
    /// When the nearest host may be probed.
    next_probe_at: Time,
}

impl ControlSelector {
    /// Starts with the nearest of the seeds. Distance is the XOR of the ids, so hosts whose id
    /// shares its high bits with `me` are near.
    pub fn new(me: NodeId) -> Self {
        Self {
            me,
            reported: Vec::new(),
            offset: 0,
            no_switch_before: Time::ZERO,
            next_probe_at: Time::ZERO,
        }
    }

    /// Sets the control hosts that the followed one reported.
    pub fn set_controls(&mut self, reported: Vec<NodeId>) {
        self.reported = reported;
    }

    /// The control host to follow now, out of the seeds and the reported ones.
    pub fn current(&self, seeds: &[NodeId]) -> Option<NodeId> {
        let all = self.by_distance(seeds);
        all.get(self.offset % all.len().max(1)).copied()
    }

    /// Switches to the next control host, because the followed one does not answer.
    pub fn record_failure(&mut self, now: Time) {
        self.offset += 1;
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    /// Switches to the next control host, because the followed one is cut off from the
    /// majority. Does nothing shortly after such a switch, as all hosts may be cut off.
    pub fn record_cut_off(&mut self, now: Time) {
        if self.no_switch_before <= now {
            self.no_switch_before = now + SWITCH_INTERVAL;
            self.record_failure(now);
        }
    }

    /// The nearest control host, if another one is followed and it is time to probe whether
    /// the nearest answers again.
    pub fn nearest_to_probe(&mut self, seeds: &[NodeId], now: Time) -> Option<NodeId> {
        let nearest = self.by_distance(seeds).first().copied()?;
        if now < self.next_probe_at || self.current(seeds) == Some(nearest) {
            return None;
        }
        self.next_probe_at = now + PROBE_INTERVAL;
        Some(nearest)
    }

    /// Follows the nearest control host again.
    pub fn return_to_nearest(&mut self) {
        self.offset = 0;
    }

    /// The seeds and the reported control hosts, nearest first.
    fn by_distance(&self, seeds: &[NodeId]) -> Vec<NodeId> {
        let mut all: Vec<NodeId> = seeds.to_vec();
        all.extend(&self.reported);
        all.sort_by_key(|id| (id.0 ^ self.me.0, *id));
        all.dedup();
        all
    }
}
