//! Which control host an entry host follows.
//!
//! The nearest one, while it answers and a majority stands behind what it knows. From
//! another one it goes back once the nearest answers again: what is told between data
//! centres costs more.

use std::time::Duration;

use base::NodeId;
use base::Time;

/// Time between two tries to find a control host that is not cut off.
const STAY: Duration = Duration::from_secs(2);

/// How long another control host is followed before the nearest one is asked again.
const AWAY: Duration = Duration::from_secs(3);

/// The control hosts that an entry host knows, and the one that it follows.
#[derive(Clone, Debug)]
pub struct ControlSelector {
    me: NodeId,
    told: Vec<NodeId>,
    /// Moves on along the hosts in their order. At zero it is the nearest one.
    turn: usize,
    stay_until: Time,
    home_at: Time,
}

impl ControlSelector {
    /// Follows the nearest of the seeds. Those with a number like `me` are near.
    pub fn new(me: NodeId) -> Self {
        Self {
            me,
            told: Vec::new(),
            turn: 0,
            stay_until: Time::ZERO,
            home_at: Time::ZERO,
        }
    }

    /// Takes the control hosts that one of them knows.
    pub fn learn(&mut self, told: Vec<NodeId>) {
        self.told = told;
    }

    /// The control host to ask now: of the seeds and all that were told.
    pub fn at(&self, seeds: &[NodeId]) -> Option<NodeId> {
        let all = self.by_distance(seeds);
        all.get(self.turn % all.len().max(1)).copied()
    }

    /// Moves on, because the control host does not answer.
    pub fn lost(&mut self, now: Time) {
        self.turn += 1;
        self.home_at = now + AWAY;
    }

    /// Takes that the control host is cut off from the majority. Moves on, unless that was
    /// done lately: all may be.
    pub fn cut_off(&mut self, now: Time) {
        if self.stay_until <= now {
            self.stay_until = now + STAY;
            self.lost(now);
        }
    }

    /// The nearest control host, if another one is followed and it is time to ask whether
    /// the nearest answers again.
    pub fn home_to_ask(&mut self, seeds: &[NodeId], now: Time) -> Option<NodeId> {
        let nearest = self.by_distance(seeds).first().copied()?;
        if now < self.home_at || self.at(seeds) == Some(nearest) {
            return None;
        }
        self.home_at = now + AWAY;
        Some(nearest)
    }

    /// Follows the nearest one again.
    pub fn go_home(&mut self) {
        self.turn = 0;
    }

    fn by_distance(&self, seeds: &[NodeId]) -> Vec<NodeId> {
        let mut all: Vec<NodeId> = seeds.to_vec();
        all.extend(&self.told);
        all.sort_by_key(|id| (id.0 ^ self.me.0, *id));
        all.dedup();
        all
    }
}
