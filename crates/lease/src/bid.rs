//! A candidate's bid for the lease, and how long the granted lease lasts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Config;
use base::Fence;
use base::NodeId;
use base::Time;

/// A request for the lease with one fencing number, and the granters' answers to it.
#[derive(Clone, Debug)]
pub(crate) struct Bid {
    pub fence: Fence,
    pub started_at: Time,
    /// When the latest request was sent that each granter granted.
    granted_at: BTreeMap<NodeId, Time>,
    /// Granters that promised the lease to another node or know a larger fencing number.
    refused_by: BTreeSet<NodeId>,
}

impl Bid {
    pub fn new(fence: Fence, now: Time) -> Self {
        Self {
            fence,
            started_at: now,
            granted_at: BTreeMap::new(),
            refused_by: BTreeSet::new(),
        }
    }

    pub fn record_grant(&mut self, from: NodeId, sent: Time) {
        let latest = self.granted_at.entry(from).or_insert(sent);
        *latest = sent.max(*latest);
    }

    pub fn record_refusal(&mut self, from: NodeId) {
        self.refused_by.insert(from);
    }

    /// Whether a majority can still grant the lease.
    pub fn can_succeed(&self, cfg: &Config) -> bool {
        cfg.majority() + self.refused_by.len() <= cfg.granters.len()
    }

    /// The latest time such that a majority granted requests sent at or after it.
    pub fn confirmed_at(&self, cfg: &Config) -> Option<Time> {
        let mut sent: Vec<Time> = self.granted_at.values().copied().collect();
        sent.sort_unstable();
        sent.iter().rev().nth(cfg.majority() - 1).copied()
    }

    /// When the lease ends. None until a majority has granted it.
    pub fn held_until(&self, cfg: &Config) -> Option<Time> {
        Some(self.confirmed_at(cfg)? + cfg.held_time())
    }
}
