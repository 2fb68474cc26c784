//! The replicas of one model.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use crate::Candidate;
use crate::Choice;
use crate::Config;
use crate::Forecast;
use crate::Length;
use crate::NoChoice;
use crate::ReplicaSlice;
use crate::RouteRequest;
use crate::Standing;
use crate::behind::Behind;
use crate::forecast::Learned;
use crate::outlier::Usual;
use crate::prefix::Prefixes;
use crate::replica::Replica;
use crate::sample::Scored;
use crate::sample::has_free;
use crate::sample::pick;
use crate::sample::sample;
use base::ReplicaId;
use base::Time;
use base::TokenCount;

/// Links that are longer than the shortest by less than this are near.
const NEAR: Duration = Duration::from_millis(1);
/// Time over which the growth of the load is averaged.
const TREND: Duration = Duration::from_millis(300);
/// Part of the prefill that a cached prefix is trusted to save.
const PREFIX_TRUST: f64 = 0.6;
/// Weight of a replica's occupancy in its score, in seconds at full.
const FILL_WEIGHT: f64 = 0.05;
/// Weight of one sample in what is learned.
const LEARN: f64 = 0.02;

/// The replicas of one model.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    /// In the order of their links.
    replicas: Vec<Replica>,
    index: BTreeMap<ReplicaId, usize>,
    near: usize,
    /// Places in the order of the hashes of their ids.
    ring: Vec<usize>,
    /// Slots over all replicas.
    slots: u64,
    pub usual: Usual,
    ejected: usize,
    prefixes: Prefixes,
    residence: f64,
    behind: BTreeMap<(Standing, Length), Behind>,
    /// Own requests sent less those ended, a second, decaying.
    growth: f64,
    growth_at: Time,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            replicas: Vec::new(),
            index: BTreeMap::new(),
            near: 0,
            ring: Vec::new(),
            slots: 0,
            usual: Usual::default(),
            ejected: 0,
            prefixes: Prefixes::default(),
            residence: 2.0,
            behind: BTreeMap::new(),
            growth: 0.0,
            growth_at: Time::ZERO,
        }
    }
}

impl Pool {
    /// Replaces the replicas, keeping what is known of those that stay.
    pub fn replace(&mut self, candidates: Vec<Candidate>, now: Time) {
        let old = std::mem::take(&mut self.replicas);
        let mut known: BTreeMap<_, _> = old.into_iter().map(|r| (r.id, r)).collect();
        self.replicas = candidates
            .into_iter()
            .map(|candidate| match known.remove(&candidate.replica) {
                Some(mut replica) => {
                    replica.report(candidate, now);
                    replica
                }
                None => Replica::new(candidate, now),
            })
            .collect();
        self.replicas.sort_by_key(|r| (r.link, r.id));
        self.slots = self.replicas.iter().map(|r| u64::from(r.load.slots)).sum();
        self.index = (0..)
            .zip(&self.replicas)
            .map(|(at, r)| (r.id, at))
            .collect();
        self.ring = (0..self.replicas.len()).collect();
        self.ring.sort_by(|a, b| {
            let hash = |at: &usize| self.replicas[*at].hash();
            hash(a).total_cmp(&hash(b))
        });
        let shortest = self.replicas.first().map_or(Duration::ZERO, |r| r.link);
        self.near = self.replicas.partition_point(|r| r.link < shortest + NEAR);
    }

    /// Takes one report of a replica that is known.
    pub fn report(&mut self, candidate: Candidate, now: Time) {
        let Some(replica) = self.get(candidate.replica) else {
            return;
        };
        let before = u64::from(replica.load.slots);
        replica.report(candidate, now);
        let after = u64::from(replica.load.slots);
        self.slots = self.slots + after - before;
    }

    pub fn get(&mut self, replica: ReplicaId) -> Option<&mut Replica> {
        let at = *self.index.get(&replica)?;
        self.replicas.get_mut(at)
    }

    pub fn with_usual(&mut self, replica: ReplicaId) -> Option<(&mut Replica, &mut Usual)> {
        let at = *self.index.get(&replica)?;
        Some((self.replicas.get_mut(at)?, &mut self.usual))
    }

    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Time to the first token at the nearest replica if it were idle.
    pub fn alone(&self, prompt: TokenCount) -> Duration {
        let Some(first) = self.replicas.first() else {
            return Duration::ZERO;
        };
        let rate = first.load.prefill_rate;
        if rate.0 <= 0.0 {
            return 2 * first.link;
        }
        2 * first.link + rate.time_for(prompt)
    }

    /// Slots over all replicas.
    pub fn slots(&self) -> u64 {
        self.slots
    }

    /// Share of all slots that are taken.
    pub fn fill(&self) -> f64 {
        let occupied: f64 = self.replicas.iter().map(Replica::occupied).sum();
        occupied / (self.slots as f64).max(1.0)
    }

    pub fn remember(&mut self, prefix: u64, replica: ReplicaId, limit: usize) {
        self.prefixes.put(prefix, replica, limit);
    }

    pub fn forget(&mut self, prefix: u64, replica: ReplicaId) {
        self.prefixes.remove(prefix, replica);
    }

    /// Counts a request sent (one) or ended (minus one) in the trend.
    pub fn grow(&mut self, by: f64, now: Time) {
        self.decay(now);
        self.growth += by / TREND.as_secs_f64();
    }

    fn decay(&mut self, now: Time) {
        let age = now.since(self.growth_at).as_secs_f64();
        self.growth *= (-age / TREND.as_secs_f64()).exp();
        self.growth_at = self.growth_at.max(now);
    }

    /// Learns how long a request held its slot.
    pub fn held(&mut self, span: Duration) {
        self.residence += LEARN * (span.as_secs_f64() - self.residence);
    }

    /// Learns how long a request waited beside the reported backlog, in seconds.
    pub fn waited(&mut self, kind: (Standing, Length), waited: f64, backlog: f64) {
        self.behind.entry(kind).or_default().add(waited, backlog);
    }

    /// Seconds that a request holds a slot.
    pub fn residence(&self) -> f64 {
        self.residence
    }

    /// Chooses a replica.
    pub fn choose(
        &mut self,
        cfg: &Config,
        ask: &RouteRequest,
        rng: &mut fastrand::Rng,
        now: Time,
    ) -> Result<Choice, NoChoice> {
        if self.replicas.is_empty() {
            return Err(NoChoice::NoReplica);
        }
        self.decay(now);
        let learned = self.learned(cfg, (ask.standing, ask.length));
        let mut miss = NoChoice::Late;
        let mut found = Vec::with_capacity(cfg.near_sample + cfg.far_sample);
        match ask.replica_slice {
            Some(slice) => {
                for at in sample(self.part(slice), cfg.near_sample, rng) {
                    self.look(self.ring[at], ask, &learned, now, &mut miss, &mut found);
                }
            }
            None => {
                for at in sample(0..self.near, cfg.near_sample, rng) {
                    self.look(at, ask, &learned, now, &mut miss, &mut found);
                }
                let far = self.near..self.replicas.len();
                if !far.is_empty() && !has_free(&found) {
                    for at in sample(far, cfg.far_sample, rng) {
                        self.look(at, ask, &learned, now, &mut miss, &mut found);
                    }
                }
            }
        }
        self.look_at_cached(cfg, ask, &learned, now, &mut found);
        let chosen = pick(&found, cfg, rng).ok_or(miss)?;
        Ok(Choice {
            replica: self.replicas[chosen.at].id,
            forecast: chosen.forecast,
        })
    }

    /// The places of a slice in the ring.
    fn part(&self, slice: ReplicaSlice) -> Range<usize> {
        let before = |hash: f64| {
            let is_before = |at: &usize| self.replicas[*at].hash() < hash;
            self.ring.partition_point(is_before)
        };
        before(slice.from)..before(slice.until)
    }

    fn learned(&self, cfg: &Config, kind: (Standing, Length)) -> Learned {
        let others = f64::from(cfg.sending_nodes.saturating_sub(1));
        Learned {
            residence: self.residence,
            behind: self.behind.get(&kind).map_or(1.0, Behind::part),
            others: self.growth.max(0.0) * others / self.replicas.len() as f64,
        }
    }

    fn look(
        &self,
        at: usize,
        ask: &RouteRequest,
        learned: &Learned,
        now: Time,
        miss: &mut NoChoice,
        found: &mut Vec<Scored>,
    ) {
        let replica = &self.replicas[at];
        if now < replica.outlier.until || ask.failed_replica == Some(replica.id) {
            return;
        }
        if ask.length == Length::Long && !has_long_room(replica, ask.long_quota) {
            *miss = NoChoice::Full;
            return;
        }
        let forecast = Forecast::of(replica, learned, ask, now);
        if ask.max_fill < forecast.fill || ask.max_backlog < forecast.backlog {
            *miss = NoChoice::Full;
            return;
        }
        let late = ask.first_token_budget < forecast.first_token;
        let slow = forecast.token_rate.0 < ask.min_token_rate.0;
        if late || slow {
            return;
        }
        let score = forecast.first_token.as_secs_f64() + FILL_WEIGHT * forecast.fill;
        found.push(Scored {
            at,
            score,
            forecast,
        });
    }

    /// Adds the replica that may cache the prefix, its score lowered by what that saves.
    fn look_at_cached(
        &self,
        cfg: &Config,
        ask: &RouteRequest,
        learned: &Learned,
        now: Time,
        found: &mut Vec<Scored>,
    ) {
        let cached = ask.prefix_hash.and_then(|prefix| self.prefixes.get(prefix));
        let Some(at) = cached.and_then(|replica| self.index.get(&replica)) else {
            return;
        };
        if ask.replica_slice.is_some() {
            return;
        }
        let before = found.len();
        self.look(*at, ask, learned, now, &mut NoChoice::Full, found);
        if let Some(scored) = found.get_mut(before) {
            let rate = self.replicas[*at].load.prefill_rate.0.max(1.0);
            let saved = PREFIX_TRUST * f64::from(ask.prompt_tokens.0) / rate;
            scored.score -= saved + cfg.score_tolerance.as_secs_f64();
        }
    }

    /// Leaves out a replica that turned slow, if enough others stay.
    pub fn judge(&mut self, cfg: &Config, replica: ReplicaId, now: Time) {
        let usual = self.usual;
        let Some(at) = self.index.get(&replica).copied() else {
            return;
        };
        if now < self.replicas[at].outlier.until {
            return;
        }
        self.replicas[at].outlier.forgive(now);
        if !self.replicas[at].outlier.is_slow(&usual, cfg.slow_factor) {
            return;
        }
        self.ejected = self
            .replicas
            .iter()
            .filter(|r| now < r.outlier.until)
            .count();
        let most = (cfg.max_ejected_share * self.replicas.len() as f64) as usize;
        if self.ejected < most {
            self.replicas[at].outlier.eject(cfg, now);
        }
    }

    /// Replicas that are left out now.
    pub fn ejected(&self, now: Time) -> Vec<ReplicaId> {
        let out = self.replicas.iter().filter(|r| now < r.outlier.until);
        out.map(|r| r.id).collect()
    }
}

/// True if this node may send one more long request to the replica.
fn has_long_room(replica: &Replica, quota: f64) -> bool {
    // The hash turns a fraction into a share of the replicas.
    f64::from(replica.long) + 1.0 <= (quota + replica.hash()).floor()
}
