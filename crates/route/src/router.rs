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

/// Backlogs shorter than this are not used as samples, in seconds.
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
    pub fn set_sending_nodes(&mut self, sending_nodes: u32) {
        self.cfg.sending_nodes = sending_nodes.max(1);
    }

    /// Replaces the replicas that serve a model.
    pub fn set_replicas(&mut self, model: &ModelName, candidates: Vec<Candidate>, now: Time) {
        let pool = self.pools.entry(model.clone()).or_default();
        pool.replace_replicas(candidates, now);
    }

    /// Updates the load of a known replica from a newer report.
    pub fn update_load(&mut self, model: &ModelName, candidate: Candidate, now: Time) {
        if let Some(pool) = self.pools.get_mut(model) {
            pool.update_load(candidate, now);
        }
    }

    /// Chooses a replica for a request. Nothing is counted until [`Self::record_sent`].
    pub fn choose_replica(
        &mut self,
        model: &ModelName,
        request: &RouteRequest,
        now: Time,
    ) -> Result<Choice, NoChoice> {
        let pool = self.pools.get_mut(model).ok_or(NoChoice::NoReplica)?;
        pool.choose_replica(&self.cfg, request, &mut self.rng, now)
    }

    /// Records that a request is sent to the chosen replica.
    pub fn record_sent(
        &mut self,
        id: RequestId,
        model: &ModelName,
        request: &RouteRequest,
        choice: &Choice,
        now: Time,
    ) {
        let Some(pool) = self.pools.get_mut(model) else {
            return;
        };
        pool.record_growth(1.0, now);
        if let Some(prefix) = request.prefix_hash {
            pool.record_cached_prefix(prefix, choice.replica, self.cfg.max_prefixes);
        }
        let in_flight = InFlightRequest {
            model: model.clone(),
            replica: choice.replica,
            length: request.length,
            standing: request.standing,
            sent_at: now,
            unloaded_time: choice.forecast.unloaded_time,
            slot_wait: choice.forecast.slot_wait,
            expected_first_token: choice.forecast.first_token,
            backlog: choice.forecast.backlog,
            last_token_at: None,
        };
        if let Some(replica) = pool.get(choice.replica) {
            replica.record_sent(id, request.prompt_tokens, &in_flight);
        }
        self.in_flight.insert(id, in_flight);
    }

    /// Records the first token of a request.
    pub fn record_first_token(&mut self, id: RequestId, now: Time) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        if in_flight.last_token_at.is_some() {
            return;
        }
        in_flight.last_token_at = Some(now);
        let in_flight = in_flight.clone();
        let Some(pool) = self.pools.get_mut(&in_flight.model) else {
            return;
        };
        let first_token_time = now.since(in_flight.sent_at);
        let backlog = in_flight.backlog.as_secs_f64();
        if MIN_BACKLOG_S < backlog {
            let waited =
                first_token_time.saturating_sub(in_flight.unloaded_time + in_flight.slot_wait);
            let kind = (in_flight.standing, in_flight.length);
            pool.record_wait(kind, waited.as_secs_f64(), backlog);
        }
        if let Some((replica, averages)) = pool.replica_and_averages(in_flight.replica) {
            replica.record_first_token(id);
            if in_flight.is_urgent() {
                let expected = in_flight.expected_first_token.as_secs_f64().max(1e-3);
                replica
                    .outlier
                    .add_first_token_ratio(averages, first_token_time.as_secs_f64() / expected);
            }
        }
        pool.eject_if_slow(&self.cfg, in_flight.replica, now);
    }

    /// Records `count` further tokens of a request.
    pub fn record_tokens(&mut self, id: RequestId, count: u32, now: Time) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        let Some(last_token_at) = in_flight.last_token_at.filter(|_| 0 < count) else {
            return;
        };
        in_flight.last_token_at = Some(now);
        let gap = now.since(last_token_at).as_secs_f64() / f64::from(count);
        let replica = in_flight.replica;
        let Some(pool) = self.pools.get_mut(&in_flight.model) else {
            return;
        };
        if let Some((state, averages)) = pool.replica_and_averages(replica) {
            state.outlier.add_token_gap(averages, gap);
        }
        pool.eject_if_slow(&self.cfg, replica, now);
    }

    /// Records the end of a request that was answered completely.
    pub fn record_finished(&mut self, id: RequestId, now: Time) {
        if let Some(in_flight) = self.remove_request(id, now)
            && let Some(pool) = self.pools.get_mut(&in_flight.model)
        {
            pool.record_residence(now.since(in_flight.sent_at));
        }
    }

    /// Records the end of a request that failed or was cancelled.
    pub fn record_failed(&mut self, id: RequestId, now: Time) {
        self.remove_request(id, now);
    }

    fn remove_request(&mut self, id: RequestId, now: Time) -> Option<InFlightRequest> {
        let in_flight = self.in_flight.remove(&id)?;
        let pool = self.pools.get_mut(&in_flight.model)?;
        pool.record_growth(-1.0, now);
        if let Some(replica) = pool.get(in_flight.replica) {
            replica.record_ended(id, in_flight.length, now);
        }
        Some(in_flight)
    }

    /// Records a cache event: the replica has the prefix cached.
    pub fn record_cached_prefix(&mut self, model: &ModelName, replica: ReplicaId, prefix: u64) {
        if let Some(pool) = self.pools.get_mut(model) {
            pool.record_cached_prefix(prefix, replica, self.cfg.max_prefixes);
        }
    }

    /// Records a cache event: the replica evicted the prefix.
    pub fn record_evicted_prefix(&mut self, model: &ModelName, replica: ReplicaId, prefix: u64) {
        if let Some(pool) = self.pools.get_mut(model) {
            pool.record_evicted_prefix(prefix, replica);
        }
    }

    /// Counts a request as long from now on because it runs longer than estimated.
    pub fn mark_long(&mut self, id: RequestId) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        if in_flight.length == Length::Long {
            return;
        }
        in_flight.length = Length::Long;
        let (model, replica) = (&in_flight.model, in_flight.replica);
        if let Some(replica) = self.pools.get_mut(model).and_then(|p| p.get(replica)) {
            replica.awaiting_first_token.remove(&id);
            replica.long_count += 1;
        }
    }

    /// The shortest time to the first token: that of the nearest replica if it were idle.
    pub fn min_first_token_time(&self, model: &ModelName, prompt: TokenCount) -> Duration {
        let pool = self.pools.get(model);
        pool.map_or(Duration::ZERO, |pool| pool.min_first_token_time(prompt))
    }

    /// Number of requests sent that have not ended.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Number of replicas that serve a model.
    pub fn replica_count(&self, model: &ModelName) -> usize {
        self.pools.get(model).map_or(0, Pool::len)
    }

    /// Number of slots of all replicas of a model.
    pub fn slot_count(&self, model: &ModelName) -> u64 {
        self.pools.get(model).map_or(0, Pool::slot_count)
    }

    /// Share of the slots of all replicas of a model that are taken, as known to this node.
    pub fn fill(&self, model: &ModelName) -> f64 {
        self.pools.get(model).map_or(0.0, Pool::fill)
    }

    /// Average seconds that a request of the model holds a slot.
    pub fn residence(&self, model: &ModelName) -> f64 {
        self.pools.get(model).map_or(1.0, Pool::residence)
    }

    /// Replicas of a model that are ejected because they became slow.
    pub fn ejected_replicas(&self, model: &ModelName, now: Time) -> Vec<ReplicaId> {
        let pool = self.pools.get(model);
        pool.map_or_else(Vec::new, |pool| pool.ejected_replicas(now))
    }
}
