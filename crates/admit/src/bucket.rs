//! A token bucket that all entry nodes share.
//!
//! Each node keeps a copy of the whole bucket's level and lowers it by what it admits itself
//! and, at each exchange, by what the other nodes report as admitted. Between two exchanges
//! a node admits only its share of the level and of the refill. What was admitted in excess
//! becomes a debt at every node, so excesses don't add up.
//!
//! A unit is one request or one generated token, depending on the limit.

use std::collections::BTreeMap;
use std::time::Duration;

use base::Incarnation;
use base::NodeId;
use base::Time;
use base::span_from_secs;

/// Averaging time of the demand.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_millis(400);
/// Part of the limit that is divided evenly among the nodes, whatever their demand. The rest
/// is divided by demand.
const EVEN_PART: f64 = 0.1;

/// One node's copy of a shared token bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Refill of all nodes together, in units per second.
    pub rate: f64,
    /// Units that all nodes together may admit at once.
    pub burst: f64,
    /// The lowest level at which a request is admitted.
    min_level: f64,
    /// The whole bucket's level as this node knows it. Negative for a debt.
    level: f64,
    /// Units that this node may still admit before the next exchange.
    held: f64,
    updated_at: Time,
    /// This node's share of the limit of the visible nodes.
    share: f64,
    /// The part of the whole limit that is for the visible nodes.
    visible_part: f64,
    /// Refill that was left to nodes that are not visible.
    unseen_refill: f64,
    /// Units admitted here in this incarnation.
    spent: f64,
    /// Units asked for here per second.
    demand: f64,
    last_heard: BTreeMap<NodeId, LastHeard>,
    /// Number of exchanges so far.
    exchange_count: u64,
}

/// What a peer last reported, and in which exchange.
#[derive(Clone, Copy, Debug)]
struct LastHeard {
    incarnation: Incarnation,
    spent: f64,
    exchange: u64,
}

/// What another node reports of the same bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerUsage {
    /// The other node.
    pub node: NodeId,
    /// The incarnation of the node's process.
    pub incarnation: Incarnation,
    /// Units asked for at the node per second.
    pub demand: f64,
    /// Units admitted at the node in this incarnation.
    pub spent: f64,
    /// Units that the node may still admit before its next exchange, if it reported them.
    /// Negative for a debt.
    pub held: Option<f64>,
}

impl Bucket {
    /// Creates a full bucket of a node that sees no other. `visible_part` is its even part of
    /// the limit.
    pub fn new(rate: f64, burst: f64, min_level: f64, visible_part: f64, now: Time) -> Self {
        Self {
            rate,
            burst,
            min_level,
            level: burst * visible_part,
            held: burst * visible_part,
            updated_at: now,
            share: 1.0,
            visible_part,
            unseen_refill: 0.0,
            spent: 0.0,
            demand: 0.0,
            last_heard: BTreeMap::new(),
            exchange_count: 0,
        }
    }

    /// Takes units for a request if the limit allows it, and counts the demand in any case.
    pub fn take(&mut self, units: f64, now: Time) -> bool {
        self.advance(now);
        self.demand += units / DEMAND_AVERAGING_TIME.as_secs_f64();
        if !self.has_capacity() {
            return false;
        }
        self.charge(units);
        true
    }

    /// True if the next request would be admitted.
    fn has_capacity(&self) -> bool {
        self.rate.is_infinite() || (self.min_level <= self.level + 1e-9 && 0.0 < self.held)
    }

    /// Takes units without a check, to correct what an admitted request took. A negative
    /// number gives units back.
    pub fn charge(&mut self, units: f64) {
        self.level -= units;
        self.held -= units;
        self.spent += units;
    }

    /// How long until the next request would be admitted, by the level and this node's share
    /// of the refill.
    pub fn wait(&self) -> Duration {
        if self.has_capacity() {
            return Duration::ZERO;
        }
        let refill = (self.rate * self.visible_part).max(1e-6);
        let level_wait = (self.min_level - self.level) / refill;
        let held_wait = -self.held / (refill * self.share.max(1e-3));
        span_from_secs(level_wait.max(held_wait).clamp(0.001, 3_600.0))
    }

    /// Units asked for at this node per second.
    pub fn demand(&self) -> f64 {
        self.demand
    }

    /// Units admitted at this node in this incarnation.
    pub fn spent(&self) -> f64 {
        self.spent
    }

    /// Units that this node may still admit before its next exchange. Negative if it admitted
    /// too many.
    pub fn held(&self) -> f64 {
        self.held
    }

    /// The level of the whole bucket as this node knows it.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Adds the refill up to now.
    pub fn advance(&mut self, now: Time) {
        let span = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.demand *= (-span / DEMAND_AVERAGING_TIME.as_secs_f64()).exp();
        if self.rate.is_infinite() || span <= 0.0 {
            return;
        }
        let refill = self.rate * self.visible_part * span;
        let max_level = self.burst * self.visible_part;
        self.unseen_refill += self.rate * (1.0 - self.visible_part) * span;
        self.level = (self.level + refill).min(max_level);
        self.held = (self.held + refill * self.share).min(max_level * self.share);
    }

    /// Applies the reports of the visible nodes and divides the level anew. `live` counts the
    /// visible nodes with this one, and `visible_part` is the part of the limit for them.
    pub fn apply_peers(&mut self, peers: &[PeerUsage], live: usize, visible_part: f64, now: Time) {
        self.advance(now);
        self.exchange_count += 1;
        for peer in peers {
            self.subtract_peer_usage(*peer);
        }
        self.visible_part = visible_part;
        if 1.0 <= visible_part {
            self.unseen_refill = 0.0;
        }
        let total: f64 = peers.iter().map(|p| p.demand).sum::<f64>() + self.demand;
        let even = 1.0 / live.max(1) as f64;
        let demand_share = if total <= 0.0 {
            even
        } else {
            self.demand / total
        };
        self.share = EVEN_PART * even + (1.0 - EVEN_PART) * demand_share;
        self.level = self.level.min(self.burst * visible_part);
        let unreported = even * self.level.max(0.0);
        let held_by_others = peers.iter().map(|p| p.held.unwrap_or(unreported)).sum();
        self.held = self.divided_level(held_by_others);
    }

    /// Units that this node may admit after a division: what it still holds and its share of the
    /// free rest. Units that other nodes hold are not free, and an excess of this node stays its
    /// debt.
    fn divided_level(&self, held_by_others: f64) -> f64 {
        let level = self.level.max(0.0);
        let free = (level - self.held - held_by_others).max(0.0);
        (self.held + self.share * free).min(self.share * level)
    }

    /// Lowers the level by what a peer admitted since its last report. What a peer admitted
    /// while it was not visible counts against the refill that was left to such nodes first.
    fn subtract_peer_usage(&mut self, peer: PeerUsage) {
        let now = LastHeard {
            incarnation: peer.incarnation,
            spent: peer.spent,
            exchange: self.exchange_count,
        };
        let Some(before) = self.last_heard.insert(peer.node, now) else {
            return;
        };
        if peer.incarnation < before.incarnation {
            self.last_heard.insert(peer.node, before);
            return;
        }
        let is_same_incarnation = before.incarnation == peer.incarnation;
        let used = peer.spent
            - if is_same_incarnation {
                before.spent
            } else {
                0.0
            };
        let was_invisible = before.exchange + 1 < self.exchange_count;
        let covered = if was_invisible {
            used.clamp(0.0, self.unseen_refill)
        } else {
            0.0
        };
        self.unseen_refill -= covered;
        let max_debt = self.burst + self.rate;
        self.level = (self.level - (used - covered)).max(-max_debt);
    }

    /// Limits this node to `visible_part` of the limit, because it has no news of the others.
    pub fn isolate(&mut self, visible_part: f64, now: Time) {
        self.advance(now);
        self.visible_part = visible_part;
        self.share = 1.0;
        self.level = self.level.min(self.burst * visible_part);
        self.held = self.held.min(self.level);
    }

    /// Changes the rate and burst.
    pub fn set_limit(&mut self, rate: f64, burst: f64, now: Time) {
        self.advance(now);
        if self.rate.is_infinite() {
            self.level = burst * self.visible_part;
            self.held = self.level * self.share;
        }
        self.rate = rate;
        self.burst = burst;
    }
}
