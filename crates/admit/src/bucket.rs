//! A token bucket that all entry nodes hold together.
//!
//! Each node keeps its own copy of the whole bucket's level, lowered by what it
//! admits and, with each exchange, by what the others say they admitted.
//! Between two exchanges a node may admit only its share of the level and of
//! the refill. What was admitted in excess shows as debt at every node, so an
//! excess never adds up.

use std::collections::BTreeMap;
use std::time::Duration;

use base::Incarnation;
use base::NodeId;
use base::Time;

/// Time over which demand is averaged.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_millis(400);
/// Part of a limit that is spread evenly, whatever the demand.
const EVEN_PART: f64 = 0.1;

/// One node's copy of a bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Units a second over all nodes.
    pub rate: f64,
    /// Units that may come at once over all nodes.
    pub burst: f64,
    /// Units needed in the bucket before one more request is admitted.
    min_level: f64,
    /// The whole bucket's level as this node knows it. Negative is debt.
    level: f64,
    /// What this node may still admit before the next exchange.
    local: f64,
    updated_at: Time,
    /// This node's share among the nodes it sees.
    share: f64,
    /// The part of the limit that is for the nodes it sees.
    scale: f64,
    /// Refill that was left to nodes out of sight.
    unseen_refill: f64,
    spent: f64,
    demand: f64,
    last_heard: BTreeMap<NodeId, LastHeard>,
    /// Counts the exchanges.
    exchange_count: u64,
}

/// What was last heard of a peer.
#[derive(Clone, Copy, Debug)]
struct LastHeard {
    incarnation: Incarnation,
    spent: f64,
    exchange: u64,
}

/// What another node said of the same bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerUsage {
    /// The node.
    pub node: NodeId,
    /// Its process's life.
    pub incarnation: Incarnation,
    /// Units asked for a second.
    pub demand: f64,
    /// Units admitted in this life.
    pub spent: f64,
    /// Units that it may still admit before it hears of the others, if it has told. Negative
    /// is debt.
    pub held: Option<f64>,
}

impl Bucket {
    /// A bucket at this node's even part of its burst.
    pub fn new(rate: f64, burst: f64, min_level: f64, scale: f64, now: Time) -> Self {
        Self {
            rate,
            burst,
            min_level,
            level: burst * scale,
            local: burst * scale,
            updated_at: now,
            share: 1.0,
            scale,
            unseen_refill: 0.0,
            spent: 0.0,
            demand: 0.0,
            last_heard: BTreeMap::new(),
            exchange_count: 0,
        }
    }

    /// Admits a request of this many units, if the limit allows it.
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
        self.rate.is_infinite() || (self.min_level <= self.level + 1e-9 && 0.0 < self.local)
    }

    /// Corrects what an admitted request took.
    pub fn charge(&mut self, units: f64) {
        self.level -= units;
        self.local -= units;
        self.spent += units;
    }

    /// How long until the next request would be admitted, from the level and this
    /// node's share of the refill.
    pub fn wait(&self) -> Duration {
        if self.has_capacity() {
            return Duration::ZERO;
        }
        let refill = (self.rate * self.scale).max(1e-6);
        let level = (self.min_level - self.level) / refill;
        let local = -self.local / (refill * self.share.max(1e-3));
        Duration::from_secs_f64(level.max(local).clamp(0.001, 3_600.0))
    }

    /// Units asked for a second at this node.
    pub fn demand(&self) -> f64 {
        self.demand
    }

    /// Units admitted at this node.
    pub fn spent(&self) -> f64 {
        self.spent
    }

    /// Units that this node may still admit before it hears of the others. Negative is what
    /// it admitted too much.
    pub fn held(&self) -> f64 {
        self.local
    }

    /// The level of the whole bucket as this node knows it.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Refills up to now.
    pub fn advance(&mut self, now: Time) {
        let span = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.demand *= (-span / DEMAND_AVERAGING_TIME.as_secs_f64()).exp();
        if self.rate.is_infinite() || span <= 0.0 {
            return;
        }
        let refill = self.rate * self.scale * span;
        let full = self.burst * self.scale;
        self.unseen_refill += self.rate * (1.0 - self.scale) * span;
        self.level = (self.level + refill).min(full);
        self.local = (self.local + refill * self.share).min(full * self.share);
    }

    /// Takes what the nodes in sight said. `scale` is the part of the limit for them.
    pub fn apply_peers(&mut self, peers: &[PeerUsage], live: usize, scale: f64, now: Time) {
        self.advance(now);
        self.exchange_count += 1;
        for peer in peers {
            self.subtract_peer_usage(*peer);
        }
        self.scale = scale;
        if 1.0 <= scale {
            self.unseen_refill = 0.0;
        }
        let total: f64 = peers.iter().map(|p| p.demand).sum::<f64>() + self.demand;
        let even = 1.0 / live.max(1) as f64;
        let wanted = if total <= 0.0 {
            even
        } else {
            self.demand / total
        };
        self.share = EVEN_PART * even + (1.0 - EVEN_PART) * wanted;
        self.level = self.level.min(self.burst * scale);
        let unknown = even * self.level.max(0.0);
        let held = peers.iter().map(|p| p.held.unwrap_or(unknown)).sum();
        self.local = self.local_share(held);
    }

    /// This node's share of the level. What others still hold isn't taken before they have
    /// let it go, and what this node admitted too much stays its own debt.
    fn local_share(&self, held_by_others: f64) -> f64 {
        let level = self.level.max(0.0);
        let free = (level - self.local - held_by_others).max(0.0);
        (self.local + self.share * free).min(self.share * level)
    }

    /// Lowers the level by what a peer admitted since it was last heard. A peer that was
    /// out of sight first used the refill that was left to it.
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
        let is_same = before.incarnation == peer.incarnation;
        let used = peer.spent - if is_same { before.spent } else { 0.0 };
        let was_hidden = before.exchange + 1 < self.exchange_count;
        let own = if was_hidden {
            used.clamp(0.0, self.unseen_refill)
        } else {
            0.0
        };
        self.unseen_refill -= own;
        let most = self.burst + self.rate;
        self.level = (self.level - (used - own)).max(-most);
    }

    /// Limits this node to its part of the settings, because it hears of no other.
    pub fn isolate(&mut self, scale: f64, now: Time) {
        self.advance(now);
        self.scale = scale;
        self.share = 1.0;
        self.level = self.level.min(self.burst * scale);
        self.local = self.local.min(self.level);
    }

    /// Takes a changed rate and burst.
    pub fn set_limit(&mut self, rate: f64, burst: f64, now: Time) {
        self.advance(now);
        if self.rate.is_infinite() {
            self.level = burst * self.scale;
            self.local = self.level * self.share;
        }
        self.rate = rate;
        self.burst = burst;
    }
}
