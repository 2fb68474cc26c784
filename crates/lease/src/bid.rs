//! One bid for the lease, and the tenure that comes of it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Config;
use base::Fence;
use base::NodeId;
use base::Time;

/// A fencing number that was asked for, and who granted it when.
#[derive(Clone, Debug)]
pub(crate) struct Bid {
    pub fence: Fence,
    pub begun: Time,
    /// When the latest ask that a granter granted was sent.
    granted: BTreeMap<NodeId, Time>,
    /// Granters that granted a larger number since.
    lost: BTreeSet<NodeId>,
}

impl Bid {
    pub fn new(fence: Fence, now: Time) -> Self {
        Self {
            fence,
            begun: now,
            granted: BTreeMap::new(),
            lost: BTreeSet::new(),
        }
    }

    pub fn grant(&mut self, from: NodeId, sent: Time) {
        let latest = self.granted.entry(from).or_insert(sent);
        *latest = sent.max(*latest);
    }

    pub fn lose(&mut self, from: NodeId) {
        self.lost.insert(from);
    }

    /// Whether a majority can still grant.
    pub fn is_open(&self, cfg: &Config) -> bool {
        cfg.majority() + self.lost.len() <= cfg.granters.len()
    }

    /// The latest time such that a majority granted asks sent then or later.
    pub fn confirmed(&self, cfg: &Config) -> Option<Time> {
        let mut sent: Vec<Time> = self.granted.values().copied().collect();
        sent.sort_unstable();
        sent.iter().rev().nth(cfg.majority() - 1).copied()
    }

    /// When the lease ends, once a majority granted it.
    pub fn until(&self, cfg: &Config) -> Option<Time> {
        Some(self.confirmed(cfg)? + cfg.held_time())
    }
}
