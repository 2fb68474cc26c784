//! The replicas of one model.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use crate::Candidate;
use crate::Choice;
use crate::Config;
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
use crate::sample::sample_positions;
use crate::search::Search;
use base::ReplicaId;
use base::Time;
use base::TokenCount;

/// Replicas are near if their link's delay exceeds the shortest by less than this.
const NEAR_LINK_MARGIN: Duration = Duration::from_millis(1);
/// Time constant of the averaged growth of the load.
const GROWTH_AVERAGING_TIME: Duration = Duration::from_millis(300);
/// Weight of one sample in the running mean of the residence time.
const RESIDENCE_SAMPLE_WEIGHT: f64 = 0.02;

/// The replicas of one model.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    /// Sorted by link delay.
    replicas: Vec<Replica>,
    /// Positions in `replicas`.
    positions: BTreeMap<ReplicaId, usize>,
    /// The first `near_count` of the replicas are near.
    near_count: usize,
    /// Positions in `replicas`, sorted by the hashes of the replicas' ids.
    by_hash: Vec<usize>,
    /// Slots over all replicas.
    slots: u64,
    pub averages: PoolAverages,
    ejected_count: usize,
    prefixes: PrefixMap,
    /// Seconds that a request holds a slot, as a running mean.
    residence_s: f64,
    backlog_fractions: BTreeMap<(Standing, Length), BacklogFraction>,
    /// Requests of this node sent minus ended, per second, averaged with decay.
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
    /// Replaces the replicas, keeping the state of those that stay.
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
        self.replicas.sort_by_key(|r| (r.link_delay, r.id));
        self.slots = self.replicas.iter().map(|r| u64::from(r.load.slots)).sum();
        self.positions = (0..)
            .zip(&self.replicas)
            .map(|(position, r)| (r.id, position))
            .collect();
        self.by_hash = (0..self.replicas.len()).collect();
        self.by_hash.sort_by(|a, b| {
            let hash = |position: &usize| self.replicas[*position].id_hash();
            hash(a).total_cmp(&hash(b))
        });
        let shortest = self
            .replicas
            .first()
            .map_or(Duration::ZERO, |r| r.link_delay);
        self.near_count = self
            .replicas
            .partition_point(|r| r.link_delay < shortest + NEAR_LINK_MARGIN);
    }

    /// Updates the load of a known replica.
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
        let position = *self.positions.get(&replica)?;
        self.replicas.get_mut(position)
    }

    pub fn replica_and_averages(
        &mut self,
        replica: ReplicaId,
    ) -> Option<(&mut Replica, &mut PoolAverages)> {
        let position = *self.positions.get(&replica)?;
        Some((self.replicas.get_mut(position)?, &mut self.averages))
    }

    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Time to the first token at the nearest replica if it were idle.
    pub fn min_first_token_time(&self, prompt: TokenCount) -> Duration {
        let Some(nearest) = self.replicas.first() else {
            return Duration::ZERO;
        };
        let rate = nearest.load.prefill_rate;
        if rate.0 <= 0.0 {
            return 2 * nearest.link_delay;
        }
        2 * nearest.link_delay + rate.time_for(prompt)
    }

    /// Slots over all replicas.
    pub fn slot_count(&self) -> u64 {
        self.slots
    }

    /// Share of all slots that are taken.
    pub fn fill(&self) -> f64 {
        let requests: f64 = self.replicas.iter().map(Replica::request_count).sum();
        requests / (self.slots as f64).max(1.0)
    }

    pub fn record_cached_prefix(&mut self, prefix: u64, replica: ReplicaId, limit: usize) {
        self.prefixes.insert(prefix, replica, limit);
    }

    pub fn record_evicted_prefix(&mut self, prefix: u64, replica: ReplicaId) {
        self.prefixes.remove(prefix, replica);
    }

    /// Counts a request sent (one) or ended (minus one) in the growth rate.
    pub fn record_growth(&mut self, by: f64, now: Time) {
        self.decay_growth_rate(now);
        self.growth_rate += by / GROWTH_AVERAGING_TIME.as_secs_f64();
    }

    fn decay_growth_rate(&mut self, now: Time) {
        let age = now.since(self.growth_rate_at).as_secs_f64();
        self.growth_rate *= (-age / GROWTH_AVERAGING_TIME.as_secs_f64()).exp();
        self.growth_rate_at = self.growth_rate_at.max(now);
    }

    /// Records how long a request held its slot.
    pub fn record_residence(&mut self, span: Duration) {
        self.residence_s += RESIDENCE_SAMPLE_WEIGHT * (span.as_secs_f64() - self.residence_s);
    }

    /// Records how long a request waited and the backlog reported then, both in seconds.
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
        request: &RouteRequest,
        rng: &mut fastrand::Rng,
        now: Time,
    ) -> Result<Choice, NoChoice> {
        if self.replicas.is_empty() {
            return Err(NoChoice::NoReplica);
        }
        self.decay_growth_rate(now);
        let learned = self.learned_values(cfg, (request.standing, request.length));
        let mut search = Search::new(&self.replicas, cfg, request, learned, now);
        match request.replica_slice {
            Some(slice) => self.search_slice(&mut search, slice, rng),
            None => {
                self.search_near_and_far(&mut search, rng);
                self.search_cached(&mut search);
            }
        }
        let chosen = search.pick_best(rng)?;
        Ok(Choice {
            replica: self.replicas[chosen.position].id,
            forecast: chosen.forecast,
        })
    }

    fn search_slice(&self, search: &mut Search<'_>, slice: ReplicaSlice, rng: &mut fastrand::Rng) {
        let indices = self.slice_indices(slice);
        for index in sample_positions(indices, search.cfg.near_sample, rng) {
            search.consider(self.by_hash[index]);
        }
    }

    /// Searches the near replicas, and the far ones if no near one is idle.
    fn search_near_and_far(&self, search: &mut Search<'_>, rng: &mut fastrand::Rng) {
        for position in sample_positions(0..self.near_count, search.cfg.near_sample, rng) {
            search.consider(position);
        }
        let far = self.near_count..self.replicas.len();
        if far.is_empty() || search.has_idle_replica() {
            return;
        }
        for position in sample_positions(far, search.cfg.far_sample, rng) {
            search.consider(position);
        }
    }

    /// Searches the replica that may have the request's prefix cached.
    fn search_cached(&self, search: &mut Search<'_>) {
        let prefix = search.request.prefix_hash;
        let replica = prefix.and_then(|prefix| self.prefixes.get(prefix));
        if let Some(position) = replica.and_then(|replica| self.positions.get(&replica)) {
            search.consider_cached(*position);
        }
    }

    /// The range of indices of a slice's replicas in `by_hash`.
    fn slice_indices(&self, slice: ReplicaSlice) -> Range<usize> {
        let before = |hash: f64| {
            let is_before = |position: &usize| self.replicas[*position].id_hash() < hash;
            self.by_hash.partition_point(is_before)
        };
        before(slice.from)..before(slice.until)
    }

    fn learned_values(&self, cfg: &Config, kind: (Standing, Length)) -> LearnedValues {
        let other_nodes = f64::from(cfg.sending_nodes.saturating_sub(1));
        LearnedValues {
            residence_s: self.residence_s,
            backlog_fraction: self
                .backlog_fractions
                .get(&kind)
                .map_or(1.0, BacklogFraction::fraction),
            others_growth_rate: self.growth_rate.max(0.0) * other_nodes
                / self.replicas.len() as f64,
        }
    }

    /// Ejects a replica that became slow, unless too many are ejected already.
    pub fn eject_if_slow(&mut self, cfg: &Config, replica: ReplicaId, now: Time) {
        let averages = self.averages;
        let Some(position) = self.positions.get(&replica).copied() else {
            return;
        };
        if now < self.replicas[position].outlier.ejected_until {
            return;
        }
        self.replicas[position].outlier.reset_old_ejections(now);
        if !self.replicas[position]
            .outlier
            .is_slow(&averages, cfg.slow_factor)
        {
            return;
        }
        self.ejected_count = self
            .replicas
            .iter()
            .filter(|r| now < r.outlier.ejected_until)
            .count();
        let max_ejected = (cfg.max_ejected_share * self.replicas.len() as f64) as usize;
        if self.ejected_count < max_ejected {
            self.replicas[position].outlier.eject(cfg, now);
        }
    }

    /// Replicas that are ejected now.
    pub fn ejected_replicas(&self, now: Time) -> Vec<ReplicaId> {
        let ejected = self
            .replicas
            .iter()
            .filter(|r| now < r.outlier.ejected_until);
        ejected.map(|r| r.id).collect()
    }
}
