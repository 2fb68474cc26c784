//! The replicas of one model.

use std::collections::BTreeMap;
use std::time::Duration;

use base::ReplicaId;
use base::Time;
use base::TokenCount;

use crate::Ask;
use crate::Candidate;
use crate::Choice;
use crate::Config;
use crate::Forecast;
use crate::Length;
use crate::Miss;
use crate::forecast::Learned;
use crate::outlier::Usual;
use crate::prefix::Prefixes;
use crate::replica::Replica;

/// Links that are longer than the shortest by less than this are near.
const NEAR: Duration = Duration::from_millis(1);
/// Time over which the growth of the load is averaged.
const TREND: Duration = Duration::from_millis(300);
/// Part of the prefill that a cached prefix is trusted to save.
const PREFIX_TRUST: f64 = 0.6;
/// Weight of a replica's occupancy in its score, in seconds at full.
const FILL_WEIGHT: f64 = 0.05;
/// Weight of one sample in what is learned.
const LEARN: f64 = 0.05;

/// The replicas of one model.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    /// In the order of their links.
    replicas: Vec<Replica>,
    index: BTreeMap<ReplicaId, usize>,
    near: usize,
    pub usual: Usual,
    ejected: usize,
    prefixes: Prefixes,
    residence: f64,
    behind: BTreeMap<Length, f64>,
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

/// A replica with its score in seconds. Smaller is better.
struct Scored {
    at: usize,
    score: f64,
    forecast: Forecast,
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
        self.index = (0..)
            .zip(&self.replicas)
            .map(|(at, r)| (r.id, at))
            .collect();
        let shortest = self.replicas.first().map_or(Duration::ZERO, |r| r.link);
        self.near = self.replicas.partition_point(|r| r.link < shortest + NEAR);
    }

    /// Takes one report of a replica that is known.
    pub fn report(&mut self, candidate: Candidate, now: Time) {
        if let Some(replica) = self.get(candidate.replica) {
            replica.report(candidate, now);
        }
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
        self.replicas.iter().map(|r| u64::from(r.load.slots)).sum()
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

    /// Learns how much of the reported backlog a request waited for.
    pub fn waited(&mut self, length: Length, part: f64) {
        let behind = self.behind.entry(length).or_insert(1.0);
        *behind += LEARN * (part.clamp(0.0, 2.0) - *behind);
    }

    /// Seconds that a request holds a slot.
    pub fn residence(&self) -> f64 {
        self.residence
    }

    /// Chooses a replica.
    pub fn choose(
        &mut self,
        cfg: &Config,
        ask: &Ask,
        rng: &mut fastrand::Rng,
        now: Time,
    ) -> Result<Choice, Miss> {
        if self.replicas.is_empty() {
            return Err(Miss::NoReplica);
        }
        self.decay(now);
        let learned = self.learned(cfg, ask.length);
        let mut miss = Miss::Full;
        let mut found = Vec::with_capacity(cfg.near_sample + cfg.far_sample);
        for at in sample(0..self.near, cfg.near_sample, rng) {
            self.look(at, cfg, ask, &learned, now, &mut miss, &mut found);
        }
        let far = self.near..self.replicas.len();
        if !far.is_empty() && !has_free(&found) {
            for at in sample(far, cfg.far_sample, rng) {
                self.look(at, cfg, ask, &learned, now, &mut miss, &mut found);
            }
        }
        self.look_at_cached(cfg, ask, &learned, now, &mut found);
        let chosen = pick(&found, cfg, rng).ok_or(miss)?;
        Ok(Choice {
            replica: self.replicas[chosen.at].id,
            forecast: chosen.forecast,
        })
    }

    fn learned(&self, cfg: &Config, length: Length) -> Learned {
        let others = f64::from(cfg.senders.saturating_sub(1));
        Learned {
            residence: self.residence,
            behind: self.behind.get(&length).copied().unwrap_or(1.0),
            others: self.growth.max(0.0) * others / self.replicas.len() as f64,
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one step of a search")]
    fn look(
        &self,
        at: usize,
        cfg: &Config,
        ask: &Ask,
        learned: &Learned,
        now: Time,
        miss: &mut Miss,
        found: &mut Vec<Scored>,
    ) {
        let replica = &self.replicas[at];
        if now < replica.outlier.until || ask.avoid == Some(replica.id) {
            return;
        }
        if ask.length == Length::Long && !has_long_room(replica, ask.long_quota) {
            return;
        }
        let forecast = Forecast::of(replica, learned, ask, now);
        if ask.fill < forecast.fill {
            return;
        }
        let late = ask.budget < forecast.first_token;
        let slow = forecast.token_rate.0 < ask.token_rate.0;
        if late || slow || replica.overdue(cfg.slow_factor, now) {
            *miss = Miss::Late;
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
        ask: &Ask,
        learned: &Learned,
        now: Time,
        found: &mut Vec<Scored>,
    ) {
        let cached = ask.prefix.and_then(|prefix| self.prefixes.get(prefix));
        let Some(at) = cached.and_then(|replica| self.index.get(&replica)) else {
            return;
        };
        let before = found.len();
        self.look(*at, cfg, ask, learned, now, &mut Miss::Full, found);
        if let Some(scored) = found.get_mut(before) {
            let rate = self.replicas[*at].load.prefill_rate.0.max(1.0);
            let saved = PREFIX_TRUST * f64::from(ask.prompt.0) / rate;
            scored.score -= saved + cfg.near_equal.as_secs_f64();
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
        let most = (cfg.max_ejected * self.replicas.len() as f64) as usize;
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

/// Some places of a range: all if they are few, else a random sample.
fn sample(
    range: std::ops::Range<usize>,
    most: usize,
    rng: &mut fastrand::Rng,
) -> impl Iterator<Item = usize> {
    let all = range.len() <= most;
    let count = range.len().min(most);
    (0..count).map(move |i| {
        if all {
            range.start + i
        } else {
            rng.usize(range.clone())
        }
    })
}

/// True if a replica has a free slot and next to no wait.
fn has_free(found: &[Scored]) -> bool {
    found.iter().any(|scored| {
        let wait = scored
            .forecast
            .first_token
            .saturating_sub(scored.forecast.alone);
        scored.forecast.fill <= 0.9 && wait < Duration::from_millis(10)
    })
}

/// One of the best, at random among near equals.
fn pick<'a>(found: &'a [Scored], cfg: &Config, rng: &mut fastrand::Rng) -> Option<&'a Scored> {
    let best = found.iter().map(|s| s.score).min_by(f64::total_cmp)?;
    let limit = best + cfg.near_equal.as_secs_f64();
    let equal = found.iter().filter(|s| s.score <= limit).count();
    let nth = rng.usize(0..equal);
    found.iter().filter(|s| s.score <= limit).nth(nth)
}

/// True if this node may send one more long request to the replica.
fn has_long_room(replica: &Replica, quota: f64) -> bool {
    // A fixed hash of the replica turns a fraction into a share of the replicas.
    let hash = replica.id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
    let fraction = hash as f64 / f64::from(1 << 24);
    f64::from(replica.long) + 1.0 <= (quota + fraction).floor()
}
