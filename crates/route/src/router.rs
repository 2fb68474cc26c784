//! The router of one entry node.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Candidate;
use crate::Choice;
use crate::Config;
use crate::Length;
use crate::NoChoice;
use crate::RouteRequest;
use crate::in_flight::InFlightRequest;
use crate::pool::Pool;
use base::ModelName;
use base::ReplicaId;
use base::RequestId;
use base::Time;
use base::TokenCount;

/// A backlog shorter than this teaches nothing, in seconds.
const MIN_BACKLOG_S: f64 = 0.01;

/// The router of one entry node.
#[derive(Clone, Debug)]
pub struct Router {
    cfg: Config,
    rng: fastrand::Rng,
    pools: BTreeMap<ModelName, Pool>,
    in_flight: BTreeMap<RequestId, InFlightRequest>,
}

impl Router {
    /// A router that knows no replica yet.
    pub fn new(cfg: Config, seed: u64) -> Self {
        Self {
            cfg,
            rng: fastrand::Rng::with_seed(seed),
            pools: BTreeMap::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// Sets how many entry nodes send to the same replicas, this one included.
    pub fn set_sending_nodes(&mut self, senders: u32) {
        self.cfg.sending_nodes = senders.max(1);
    }

    /// Replaces the replicas that serve a model.
    pub fn set_replicas(&mut self, model: &ModelName, candidates: Vec<Candidate>, now: Time) {
        let pool = self.pools.entry(model.clone()).or_default();
        pool.replace_replicas(candidates, now);
    }

    /// Takes one newer report of a known replica.
    pub fn update_load(&mut self, model: &ModelName, candidate: Candidate, now: Time) {
        if let Some(pool) = self.pools.get_mut(model) {
            pool.update_load(candidate, now);
        }
    }

    /// Chooses a replica. Nothing is counted until [`Self::sent`].
    pub fn choose_replica(
        &mut self,
        model: &ModelName,
        ask: &RouteRequest,
        now: Time,
    ) -> Result<Choice, NoChoice> {
        let pool = self.pools.get_mut(model).ok_or(NoChoice::NoReplica)?;
        pool.choose_replica(&self.cfg, ask, &mut self.rng, now)
    }

    /// Counts a request that goes to the chosen replica.
    pub fn record_sent(
        &mut self,
        id: RequestId,
        model: &ModelName,
        ask: &RouteRequest,
        choice: &Choice,
        now: Time,
    ) {
        let Some(pool) = self.pools.get_mut(model) else {
            return;
        };
        pool.record_growth(1.0, now);
        if let Some(prefix) = ask.prefix_hash {
            pool.record_cached_prefix(prefix, choice.replica, self.cfg.max_prefixes);
        }
        let flight = InFlightRequest {
            model: model.clone(),
            replica: choice.replica,
            length: ask.length,
            standing: ask.standing,
            sent_at: now,
            unloaded_time: choice.forecast.unloaded_time,
            slot_wait: choice.forecast.slot_wait,
            expected_first_token: choice.forecast.first_token,
            backlog: choice.forecast.backlog,
            last_token_at: None,
        };
        if let Some(replica) = pool.get(choice.replica) {
            replica.record_sent(id, ask.prompt_tokens, &flight);
        }
        self.in_flight.insert(id, flight);
    }

    /// Takes the first token of a request.
    pub fn record_first_token(&mut self, id: RequestId, now: Time) {
        let Some(flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        if flight.last_token_at.is_some() {
            return;
        }
        flight.last_token_at = Some(now);
        let flight = flight.clone();
        let Some(pool) = self.pools.get_mut(&flight.model) else {
            return;
        };
        let took = now.since(flight.sent_at);
        let backlog = flight.backlog.as_secs_f64();
        if MIN_BACKLOG_S < backlog {
            let waited = took.saturating_sub(flight.unloaded_time + flight.slot_wait);
            let kind = (flight.standing, flight.length);
            pool.record_wait(kind, waited.as_secs_f64(), backlog);
        }
        if let Some((replica, usual)) = pool.replica_and_averages(flight.replica) {
            replica.record_first_token(id);
            if flight.is_urgent() {
                let expected = flight.expected_first_token.as_secs_f64().max(1e-3);
                replica
                    .outlier
                    .add_first_token_ratio(usual, took.as_secs_f64() / expected);
            }
        }
        pool.eject_if_slow(&self.cfg, flight.replica, now);
    }

    /// Takes `count` further tokens of a request.
    pub fn record_tokens(&mut self, id: RequestId, count: u32, now: Time) {
        let Some(flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        let Some(last) = flight.last_token_at.filter(|_| 0 < count) else {
            return;
        };
        flight.last_token_at = Some(now);
        let gap = now.since(last).as_secs_f64() / f64::from(count);
        let replica = flight.replica;
        let Some(pool) = self.pools.get_mut(&flight.model) else {
            return;
        };
        if let Some((seen, usual)) = pool.replica_and_averages(replica) {
            seen.outlier.add_token_gap(usual, gap);
        }
        pool.eject_if_slow(&self.cfg, replica, now);
    }

    /// Takes the end of a request that was answered whole.
    pub fn record_finished(&mut self, id: RequestId, now: Time) {
        if let Some(flight) = self.remove_request(id, now)
            && let Some(pool) = self.pools.get_mut(&flight.model)
        {
            pool.record_residence(now.since(flight.sent_at));
        }
    }

    /// Takes the end of a request that failed or was cancelled.
    pub fn record_failed(&mut self, id: RequestId, now: Time) {
        self.remove_request(id, now);
    }

    fn remove_request(&mut self, id: RequestId, now: Time) -> Option<InFlightRequest> {
        let flight = self.in_flight.remove(&id)?;
        let pool = self.pools.get_mut(&flight.model)?;
        pool.record_growth(-1.0, now);
        if let Some(replica) = pool.get(flight.replica) {
            replica.record_ended(id, flight.length, now);
        }
        Some(flight)
    }

    /// Takes a cache event: the replica holds the prefix.
    pub fn record_cached_prefix(&mut self, model: &ModelName, replica: ReplicaId, prefix: u64) {
        if let Some(pool) = self.pools.get_mut(model) {
            pool.record_cached_prefix(prefix, replica, self.cfg.max_prefixes);
        }
    }

    /// Takes a cache event: the replica dropped the prefix.
    pub fn record_evicted_prefix(&mut self, model: &ModelName, replica: ReplicaId, prefix: u64) {
        if let Some(pool) = self.pools.get_mut(model) {
            pool.record_evicted_prefix(prefix, replica);
        }
    }

    /// Counts a request as long from now on, because it ran longer than estimated.
    pub fn mark_long(&mut self, id: RequestId) {
        let Some(flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        if flight.length == Length::Long {
            return;
        }
        flight.length = Length::Long;
        let (model, replica) = (&flight.model, flight.replica);
        if let Some(replica) = self.pools.get_mut(model).and_then(|p| p.get(replica)) {
            replica.awaiting_first_token.remove(&id);
            replica.long_count += 1;
        }
    }

    /// The least time to a first token that any replica of the model could give.
    pub fn min_first_token_time(&self, model: &ModelName, prompt: TokenCount) -> Duration {
        let pool = self.pools.get(model);
        pool.map_or(Duration::ZERO, |pool| pool.min_first_token_time(prompt))
    }

    /// Requests sent that have not ended.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// How many replicas serve a model.
    pub fn replica_count(&self, model: &ModelName) -> usize {
        self.pools.get(model).map_or(0, Pool::len)
    }

    /// Slots over all replicas of a model.
    pub fn slot_count(&self, model: &ModelName) -> u64 {
        self.pools.get(model).map_or(0, Pool::slot_count)
    }

    /// Share of the slots over all replicas of a model that are taken, as this node sees it.
    pub fn fill(&self, model: &ModelName) -> f64 {
        self.pools.get(model).map_or(0.0, Pool::fill)
    }

    /// Seconds that a request of the model holds a slot.
    pub fn residence(&self, model: &ModelName) -> f64 {
        self.pools.get(model).map_or(1.0, Pool::residence)
    }

    /// Replicas of a model that are left out because they turned slow.
    pub fn ejected_replicas(&self, model: &ModelName, now: Time) -> Vec<ReplicaId> {
        let pool = self.pools.get(model);
        pool.map_or_else(Vec::new, |pool| pool.ejected_replicas(now))
    }
}
