//! The search for a replica that can take a request.

use std::time::Duration;

use crate::Config;
use crate::Forecast;
use crate::Length;
use crate::NoChoice;
use crate::RouteRequest;
use crate::forecast::LearnedValues;
use crate::replica::Replica;
use base::Time;

/// Share of the prefill that a cached prefix is assumed to save.
const CACHED_PREFILL_SHARE: f64 = 0.6;

/// Weight of a replica's fill in its score: the seconds added when all slots are taken.
const FILL_WEIGHT_S: f64 = 0.05;

/// The largest fill at which a replica counts as idle.
const IDLE_FILL: f64 = 0.9;

/// A replica counts as idle if the wait there is shorter than this.
const IDLE_WAIT: Duration = Duration::from_millis(10);

/// A replica with its score in seconds. Smaller is better.
pub(crate) struct ScoredReplica {
    pub position: usize,
    pub score: f64,
    pub forecast: Forecast,
}

/// Why a replica cannot take a request.
enum Unfit {
    /// It is ejected, or the request failed there.
    Excluded,
    /// It lacks capacity.
    Full,
    /// It would answer too late or too slowly.
    Slow,
}

/// The replicas found so far that can take a request.
pub(crate) struct Search<'a> {
    replicas: &'a [Replica],
    pub cfg: &'a Config,
    pub request: &'a RouteRequest,
    learned: LearnedValues,
    now: Time,
    found: Vec<ScoredReplica>,
    /// Why no replica is chosen if none is found.
    reason: NoChoice,
}

impl<'a> Search<'a> {
    pub fn new(
        replicas: &'a [Replica],
        cfg: &'a Config,
        request: &'a RouteRequest,
        learned: LearnedValues,
        now: Time,
    ) -> Self {
        Self {
            replicas,
            cfg,
            request,
            learned,
            now,
            found: Vec::with_capacity(cfg.near_sample + cfg.far_sample),
            reason: NoChoice::Late,
        }
    }

    /// Considers the replica at a position.
    pub fn consider(&mut self, position: usize) {
        match self.score(position) {
            Ok(scored) => self.found.push(scored),
            Err(Unfit::Full) => self.reason = NoChoice::Full,
            Err(Unfit::Excluded | Unfit::Slow) => {}
        }
    }

    /// Considers a replica that may have the prefix cached, with its score lowered by the
    /// prefill time that this saves.
    pub fn consider_cached(&mut self, position: usize) {
        let Ok(mut cached) = self.score(position) else {
            return;
        };
        let rate = self.replicas[position].load.prefill_rate.0.max(1.0);
        let saved = CACHED_PREFILL_SHARE * f64::from(self.request.prompt_tokens.0) / rate;
        cached.score -= saved + self.cfg.score_tolerance.as_secs_f64();
        self.found.push(cached);
    }

    /// True if a replica has a free slot and a negligible wait.
    pub fn has_idle_replica(&self) -> bool {
        self.found.iter().any(|scored| {
            let forecast = &scored.forecast;
            let wait = forecast.first_token.saturating_sub(forecast.unloaded_time);
            forecast.fill <= IDLE_FILL && wait < IDLE_WAIT
        })
    }

    /// A random one of the replicas whose scores are nearly the best.
    pub fn pick_best(&self, rng: &mut fastrand::Rng) -> Result<&ScoredReplica, NoChoice> {
        let scores = self.found.iter().map(|s| s.score);
        let best = scores.min_by(f64::total_cmp).ok_or(self.reason)?;
        let limit = best + self.cfg.score_tolerance.as_secs_f64();
        let good = || self.found.iter().filter(|s| s.score <= limit);
        let nth = rng.usize(0..good().count());
        good().nth(nth).ok_or(self.reason)
    }

    fn score(&self, position: usize) -> Result<ScoredReplica, Unfit> {
        let (replica, request) = (&self.replicas[position], self.request);
        if self.now < replica.outlier.ejected_until || request.failed_replica == Some(replica.id) {
            return Err(Unfit::Excluded);
        }
        if request.length == Length::Long && !may_add_long(replica, request.long_quota) {
            return Err(Unfit::Full);
        }
        let forecast = Forecast::predict(replica, &self.learned, request, self.now);
        if request.max_fill < forecast.fill || request.max_backlog < forecast.backlog {
            return Err(Unfit::Full);
        }
        let is_late = request.first_token_budget < forecast.first_token;
        let is_slow = forecast.token_rate.0 < request.min_token_rate.0;
        if is_late || is_slow {
            return Err(Unfit::Slow);
        }
        let score = forecast.first_token.as_secs_f64() + FILL_WEIGHT_S * forecast.fill;
        Ok(ScoredReplica {
            position,
            score,
            forecast,
        })
    }
}

/// True if this node may send one more long request to the replica.
fn may_add_long(replica: &Replica, quota: f64) -> bool {
    // With the hash added, the fractional part of the quota applies to that share of the
    // replicas.
    f64::from(replica.long_count) + 1.0 <= (quota + replica.id_hash()).floor()
}
