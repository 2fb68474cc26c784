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
use crate::backlog_fraction::BacklogFraction;
use crate::forecast::LearnedValues;
use crate::outlier_detector::PoolAverages;
use crate::prefix::PrefixMap;
use crate::replica::Replica;
use crate::sample::ScoredReplica;
use crate::sample::has_idle_replica;
use crate::sample::pick_best;
use crate::sample::sample_positions;
use base::ReplicaId;
use base::Time;
use base::TokenCount;

/// Links that are longer than the shortest by less than this are near.
const NEAR_LINK_MARGIN: Duration = Duration::from_millis(1);
/// Time over which the growth of the load is averaged.
const GROWTH_AVERAGING_TIME: Duration = Duration::from_millis(300);
/// Part of the prefill that a cached prefix is trusted to save.
const CACHED_PREFILL_SHARE: f64 = 0.6;
/// Weight of a replica's occupancy in its score, in seconds at full.
const FILL_WEIGHT_S: f64 = 0.05;
/// Weight of one sample in what is learned.
const LEARN: f64 = 0.02;

/// The replicas of one model.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    /// In the order of their links.
    replicas: Vec<Replica>,
    positions: BTreeMap<ReplicaId, usize>,
    near_count: usize,
    /// Places in the order of the hashes of their ids.
    by_hash: Vec<usize>,
    /// Slots over all replicas.
    slots: u64,
    pub averages: PoolAverages,
    ejected_count: usize,
    prefixes: PrefixMap,
    residence_s: f64,
    backlog_fractions: BTreeMap<(Standing, Length), BacklogFraction>,
    /// Own requests sent less those ended, a second, decaying.
    growth_rate: f64,
    growth_rate_at: Time,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            replicas: Vec::new(),
            positions: BTreeMap::new(),
            near_count: 0,
            by_hash: Vec::new(),
            slots: 0,
            averages: PoolAverages::default(),
            ejected_count: 0,
            prefixes: PrefixMap::default(),
            residence_s: 2.0,
            backlog_fractions: BTreeMap::new(),
            growth_rate: 0.0,
            growth_rate_at: Time::ZERO,
        }
    }
}

impl Pool {
    /// Replaces the replicas, keeping what is known of those that stay.
    pub fn replace_replicas(&mut self, candidates: Vec<Candidate>, now: Time) {
        let old = std::mem::take(&mut self.replicas);
        let mut known: BTreeMap<_, _> = old.into_iter().map(|r| (r.id, r)).collect();
        self.replicas = candidates
            .into_iter()
            .map(|candidate| match known.remove(&candidate.replica) {
                Some(mut replica) => {
                    replica.update_load(candidate, now);
                    replica
                }
                None => Replica::new(candidate, now),
            })
            .collect();
        self.replicas.sort_by_key(|r| (r.link, r.id));
        self.slots = self.replicas.iter().map(|r| u64::from(r.load.slots)).sum();
        self.positions = (0..)
            .zip(&self.replicas)
            .map(|(at, r)| (r.id, at))
            .collect();
        self.by_hash = (0..self.replicas.len()).collect();
        self.by_hash.sort_by(|a, b| {
            let hash = |at: &usize| self.replicas[*at].id_hash();
            hash(a).total_cmp(&hash(b))
        });
        let shortest = self.replicas.first().map_or(Duration::ZERO, |r| r.link);
        self.near_count = self
            .replicas
            .partition_point(|r| r.link < shortest + NEAR_LINK_MARGIN);
    }

    /// Takes one report of a replica that is known.
    pub fn update_load(&mut self, candidate: Candidate, now: Time) {
        let Some(replica) = self.get(candidate.replica) else {
            return;
        };
        let before = u64::from(replica.load.slots);
        replica.update_load(candidate, now);
        let after = u64::from(replica.load.slots);
        self.slots = self.slots + after - before;
    }

    pub fn get(&mut self, replica: ReplicaId) -> Option<&mut Replica> {
        let at = *self.positions.get(&replica)?;
        self.replicas.get_mut(at)
    }

    pub fn replica_and_averages(
        &mut self,
        replica: ReplicaId,
    ) -> Option<(&mut Replica, &mut PoolAverages)> {
        let at = *self.positions.get(&replica)?;
        Some((self.replicas.get_mut(at)?, &mut self.averages))
    }

    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Time to the first token at the nearest replica if it were idle.
    pub fn min_first_token_time(&self, prompt: TokenCount) -> Duration {
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
    pub fn slot_count(&self) -> u64 {
        self.slots
    }

    /// Share of all slots that are taken.
    pub fn fill(&self) -> f64 {
        let occupied: f64 = self.replicas.iter().map(Replica::request_count).sum();
        occupied / (self.slots as f64).max(1.0)
    }

    pub fn record_cached_prefix(&mut self, prefix: u64, replica: ReplicaId, limit: usize) {
        self.prefixes.insert(prefix, replica, limit);
    }

    pub fn record_evicted_prefix(&mut self, prefix: u64, replica: ReplicaId) {
        self.prefixes.remove(prefix, replica);
    }

    /// Counts a request sent (one) or ended (minus one) in the trend.
    pub fn record_growth(&mut self, by: f64, now: Time) {
        self.decay_growth_rate(now);
        self.growth_rate += by / GROWTH_AVERAGING_TIME.as_secs_f64();
    }

    fn decay_growth_rate(&mut self, now: Time) {
        let age = now.since(self.growth_rate_at).as_secs_f64();
        self.growth_rate *= (-age / GROWTH_AVERAGING_TIME.as_secs_f64()).exp();
        self.growth_rate_at = self.growth_rate_at.max(now);
    }

    /// Learns how long a request held its slot.
    pub fn record_residence(&mut self, span: Duration) {
        self.residence_s += LEARN * (span.as_secs_f64() - self.residence_s);
    }

    /// Learns how long a request waited beside the reported backlog, in seconds.
    pub fn record_wait(&mut self, kind: (Standing, Length), waited: f64, backlog: f64) {
        self.backlog_fractions
            .entry(kind)
            .or_default()
            .add_sample(waited, backlog);
    }

    /// Seconds that a request holds a slot.
    pub fn residence(&self) -> f64 {
        self.residence_s
    }

    /// Chooses a replica.
    pub fn choose_replica(
        &mut self,
        cfg: &Config,
        ask: &RouteRequest,
        rng: &mut fastrand::Rng,
        now: Time,
    ) -> Result<Choice, NoChoice> {
        if self.replicas.is_empty() {
            return Err(NoChoice::NoReplica);
        }
        self.decay_growth_rate(now);
        let learned = self.learned_values(cfg, (ask.standing, ask.length));
        let mut miss = NoChoice::Late;
        let mut found = Vec::with_capacity(cfg.near_sample + cfg.far_sample);
        match ask.replica_slice {
            Some(slice) => {
                for at in sample_positions(self.slice_positions(slice), cfg.near_sample, rng) {
                    self.consider(self.by_hash[at], ask, &learned, now, &mut miss, &mut found);
                }
            }
            None => {
                for at in sample_positions(0..self.near_count, cfg.near_sample, rng) {
                    self.consider(at, ask, &learned, now, &mut miss, &mut found);
                }
                let far = self.near_count..self.replicas.len();
                if !far.is_empty() && !has_idle_replica(&found) {
                    for at in sample_positions(far, cfg.far_sample, rng) {
                        self.consider(at, ask, &learned, now, &mut miss, &mut found);
                    }
                }
            }
        }
        self.consider_cached(cfg, ask, &learned, now, &mut found);
        let chosen = pick_best(&found, cfg, rng).ok_or(miss)?;
        Ok(Choice {
            replica: self.replicas[chosen.position].id,
            forecast: chosen.forecast,
        })
    }

    /// The places of a slice in the ring.
    fn slice_positions(&self, slice: ReplicaSlice) -> Range<usize> {
        let before = |hash: f64| {
            let is_before = |at: &usize| self.replicas[*at].id_hash() < hash;
            self.by_hash.partition_point(is_before)
        };
        before(slice.from)..before(slice.until)
    }

    fn learned_values(&self, cfg: &Config, kind: (Standing, Length)) -> LearnedValues {
        let others = f64::from(cfg.sending_nodes.saturating_sub(1));
        LearnedValues {
            residence_s: self.residence_s,
            backlog_fraction: self
                .backlog_fractions
                .get(&kind)
                .map_or(1.0, BacklogFraction::fraction),
            others_growth_rate: self.growth_rate.max(0.0) * others / self.replicas.len() as f64,
        }
    }

    fn consider(
        &self,
        at: usize,
        ask: &RouteRequest,
        learned: &LearnedValues,
        now: Time,
        miss: &mut NoChoice,
        found: &mut Vec<ScoredReplica>,
    ) {
        let replica = &self.replicas[at];
        if now < replica.outlier.ejected_until || ask.failed_replica == Some(replica.id) {
            return;
        }
        if ask.length == Length::Long && !may_add_long(replica, ask.long_quota) {
            *miss = NoChoice::Full;
            return;
        }
        let forecast = Forecast::predict(replica, learned, ask, now);
        if ask.max_fill < forecast.fill || ask.max_backlog < forecast.backlog {
            *miss = NoChoice::Full;
            return;
        }
        let late = ask.first_token_budget < forecast.first_token;
        let slow = forecast.token_rate.0 < ask.min_token_rate.0;
        if late || slow {
            return;
        }
        let score = forecast.first_token.as_secs_f64() + FILL_WEIGHT_S * forecast.fill;
        found.push(ScoredReplica {
            position: at,
            score,
            forecast,
        });
    }

    /// Adds the replica that may cache the prefix, its score lowered by what that saves.
    fn consider_cached(
        &self,
        cfg: &Config,
        ask: &RouteRequest,
        learned: &LearnedValues,
        now: Time,
        found: &mut Vec<ScoredReplica>,
    ) {
        let cached = ask.prefix_hash.and_then(|prefix| self.prefixes.get(prefix));
        let Some(at) = cached.and_then(|replica| self.positions.get(&replica)) else {
            return;
        };
        if ask.replica_slice.is_some() {
            return;
        }
        let before = found.len();
        self.consider(*at, ask, learned, now, &mut NoChoice::Full, found);
        if let Some(scored) = found.get_mut(before) {
            let rate = self.replicas[*at].load.prefill_rate.0.max(1.0);
            let saved = CACHED_PREFILL_SHARE * f64::from(ask.prompt_tokens.0) / rate;
            scored.score -= saved + cfg.score_tolerance.as_secs_f64();
        }
    }

    /// Leaves out a replica that turned slow, if enough others stay.
    pub fn eject_if_slow(&mut self, cfg: &Config, replica: ReplicaId, now: Time) {
        let usual = self.averages;
        let Some(at) = self.positions.get(&replica).copied() else {
            return;
        };
        if now < self.replicas[at].outlier.ejected_until {
            return;
        }
        self.replicas[at].outlier.reset_after_good_time(now);
        if !self.replicas[at].outlier.is_slow(&usual, cfg.slow_factor) {
            return;
        }
        self.ejected_count = self
            .replicas
            .iter()
            .filter(|r| now < r.outlier.ejected_until)
            .count();
        let most = (cfg.max_ejected_share * self.replicas.len() as f64) as usize;
        if self.ejected_count < most {
            self.replicas[at].outlier.eject(cfg, now);
        }
    }

    /// Replicas that are left out now.
    pub fn ejected_replicas(&self, now: Time) -> Vec<ReplicaId> {
        let out = self
            .replicas
            .iter()
            .filter(|r| now < r.outlier.ejected_until);
        out.map(|r| r.id).collect()
    }
}

/// True if this node may send one more long request to the replica.
fn may_add_long(replica: &Replica, quota: f64) -> bool {
    // The hash turns a fraction into a share of the replicas.
    f64::from(replica.long_count) + 1.0 <= (quota + replica.id_hash()).floor()
}
