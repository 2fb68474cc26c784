//! Sends waiting requests in fair order and refuses those that can't be answered in time.

use std::time::Duration;

use crate::Decision;
use crate::Dispatcher;
use crate::LoadLimit;
use crate::RefusalReason;
use crate::Standing;
use crate::dispatcher::refuse;
use crate::fair_queue::AcceptedRequest;
use crate::in_flight::InFlight;
use base::ModelName;
use base::RequestId;
use base::Time;
use base::span_from_secs;
use route::Choice;
use route::Length;
use route::NoChoice;
use route::ReplicaSlice;
use route::RouteRequest;

/// Long requests go before short ones until they hold this part of their share of the slots.
const LONG_FIRST_SHARE: f64 = 0.8;
/// Long requests may hold their share of the slots times this factor at replicas with enough
/// free slots.
const LONG_EXCESS_FACTOR: f64 = 1.5;
/// The largest fill of a replica at which long requests may exceed their share.
const LONG_EXCESS_FILL: f64 = 0.75;
/// The longest time after which a refused caller is told to retry, before the spreading of
/// retries.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// What happened to the head of a queue.
enum HeadOutcome {
    /// The head was sent or refused.
    Removed,
    /// No request of this queue can be sent now.
    Blocked,
}

impl Dispatcher {
    /// Sends and refuses waiting requests of a model.
    pub(crate) fn process_queue(&mut self, model: &ModelName, now: Time) {
        if self.queues.get(model).is_none_or(|queue| queue.len() == 0) {
            return;
        }
        while self.is_long_first(model) {
            if let HeadOutcome::Blocked =
                self.process_head(model, Standing::Within, Length::Long, now)
            {
                break;
            }
        }
        for standing in [Standing::Within, Standing::Beyond] {
            for length in [Length::Short, Length::Long] {
                while let HeadOutcome::Removed = self.process_head(model, standing, length, now) {}
            }
        }
        self.refuse_late(model, now);
    }

    /// Whether long requests go before short ones, because they hold too few of the slots.
    fn is_long_first(&self, model: &ModelName) -> bool {
        let Some(queue) = self.queues.get(model) else {
            return false;
        };
        let share = self.long_quota(model) * self.router.replica_count(model) as f64;
        0 < queue.waiting_count(Length::Long)
            && f64::from(queue.running_count(Length::Long)) < LONG_FIRST_SHARE * share
    }

    /// Number of long requests that this node may have at one replica, on average.
    fn long_quota(&self, model: &ModelName) -> f64 {
        let replicas = self.router.replica_count(model).max(1) as f64;
        let slots = self.router.slot_count(model) as f64 / replicas;
        let share = self.queues.get(model).map_or(1.0, |queue| queue.long_share);
        slots * self.cfg.long_share * share
    }

    /// Sends or refuses the head of a queue, if it can be decided on now.
    fn process_head(
        &mut self,
        model: &ModelName,
        standing: Standing,
        length: Length,
        now: Time,
    ) -> HeadOutcome {
        let Some(queue) = self.queues.get_mut(model) else {
            return HeadOutcome::Blocked;
        };
        let Some(accepted) = queue.fair_queue(standing, length).pop() else {
            return HeadOutcome::Blocked;
        };
        match self.find_replica(&accepted, now) {
            Ok((route_request, choice)) => {
                self.send(accepted, &route_request, &choice, now);
                HeadOutcome::Removed
            }
            Err(NoChoice::Full) => {
                self.enqueue_first(accepted);
                HeadOutcome::Blocked
            }
            Err(NoChoice::Late) => {
                self.send_to_fallback_or_refuse(accepted, RefusalReason::Late, now);
                HeadOutcome::Removed
            }
            Err(NoChoice::NoReplica) => {
                self.send_to_fallback_or_refuse(accepted, RefusalReason::NoReplica, now);
                HeadOutcome::Removed
            }
        }
    }

    /// Finds a replica for a request. A long request within its contract may exceed the share
    /// of long requests at a replica with enough free slots.
    fn find_replica(
        &mut self,
        accepted: &AcceptedRequest,
        now: Time,
    ) -> Result<(RouteRequest, Choice), NoChoice> {
        let limit = self.load_limit(accepted);
        let mut route_request = RouteRequest {
            prompt_tokens: accepted.prompt,
            length: accepted.length,
            standing: accepted.standing,
            prefix_hash: accepted.prefix,
            first_token_budget: accepted.due.since(now),
            min_token_rate: accepted.token_rate,
            max_fill: limit.fill,
            max_backlog: limit.backlog,
            long_quota: self.long_quota(&accepted.model),
            replica_slice: self.replica_slice(accepted),
            failed_replica: accepted.avoid,
        };
        match self
            .router
            .choose_replica(&accepted.model, &route_request, now)
        {
            Ok(choice) => return Ok((route_request, choice)),
            Err(NoChoice::Full) if may_exceed_long_share(accepted) => {}
            Err(reason) => return Err(reason),
        }
        route_request.long_quota *= LONG_EXCESS_FACTOR;
        route_request.max_fill = LONG_EXCESS_FILL;
        let choice = self
            .router
            .choose_replica(&accepted.model, &route_request, now)?;
        Ok((route_request, choice))
    }

    /// How busy a replica may be for this request to be sent to it.
    fn load_limit(&self, accepted: &AcceptedRequest) -> LoadLimit {
        let mut limit = self.cfg.load_limit(accepted.standing, accepted.length);
        if let Some(queue) = self.queues.get(&accepted.model) {
            limit.fill = queue.max_fill(accepted, limit.fill);
        }
        limit
    }

    /// The replicas that a request may go to. For work beyond contracts they are divided among
    /// the nodes, so that two nodes never take the same free slot.
    fn replica_slice(&self, accepted: &AcceptedRequest) -> Option<ReplicaSlice> {
        match accepted.standing {
            Standing::Within => None,
            Standing::Beyond => self.queues.get(&accepted.model)?.slice,
        }
    }

    /// Sends a request to the chosen replica.
    fn send(
        &mut self,
        accepted: AcceptedRequest,
        route_request: &RouteRequest,
        choice: &Choice,
        now: Time,
    ) {
        let request = accepted.request;
        self.waiting.remove(&request);
        self.retry_budget.record_sent();
        self.router
            .record_sent(request, &accepted.model, route_request, choice, now);
        let queue = self.queues.entry(accepted.model.clone()).or_default();
        queue.record_started(&accepted);
        queue.record_sent(&accepted, now);
        queue.fair_queue_of(&accepted).record_sent(&accepted);
        let decision = Decision::Send {
            replica: choice.replica,
            priority: accepted.priority,
            model: accepted.model.clone(),
            delivered: accepted.delivered,
        };
        let in_flight = InFlight {
            replica: choice.replica,
            sent_at: now,
            last_token_at: now,
            generated: accepted.delivered.0,
            accepted,
        };
        self.in_flight.insert(request, in_flight);
        self.decided.push((request, decision));
    }

    /// Refuses the waiting requests that would not get their first token in time.
    fn refuse_late(&mut self, model: &ModelName, now: Time) {
        let router = &self.router;
        let Some(queue) = self.queues.get_mut(model) else {
            return;
        };
        let late = queue.take_late(now, |accepted, wait| {
            let unloaded_time = router.min_first_token_time(&accepted.model, accepted.prompt);
            let sent = now + span_from_secs(wait);
            accepted.due < sent + unloaded_time || accepted.queue_until < sent
        });
        for accepted in late {
            self.send_to_fallback_or_refuse(accepted, RefusalReason::Late, now);
        }
    }

    /// Sends a request to the contract's fallback model if possible, and refuses it otherwise.
    fn send_to_fallback_or_refuse(
        &mut self,
        mut accepted: AcceptedRequest,
        reason: RefusalReason,
        now: Time,
    ) {
        let fallback = self.fallback_model(&accepted.contract);
        if let Some(fallback) = fallback.filter(|fallback| *fallback != accepted.model) {
            let original = std::mem::replace(&mut accepted.model, fallback);
            if let Ok((route_request, choice)) = self.find_replica(&accepted, now) {
                self.send(accepted, &route_request, &choice, now);
                return;
            }
            accepted.model = original;
        }
        let retry_after = self.retry_after(&accepted, now);
        if let Some(queue) = self.queues.get_mut(&accepted.model) {
            queue.record_refusal(&accepted, &self.cfg);
        }
        self.retry_budget.record_refusal();
        self.refund(&accepted, 0);
        self.decide_refusal(
            accepted.request,
            refusal_reason(&accepted, reason),
            retry_after,
        );
    }

    /// Decides to refuse a request.
    pub(crate) fn decide_refusal(&mut self, id: RequestId, reason: RefusalReason, after: Duration) {
        self.waiting.remove(&id);
        self.decided.push((id, refuse(reason, after)));
    }

    /// The time after which a request like this one would be sent in time, with the queue as it
    /// is now.
    pub(crate) fn retry_after(&mut self, accepted: &AcceptedRequest, now: Time) -> Duration {
        let Some(queue) = self.queues.get(&accepted.model) else {
            return MAX_RETRY_AFTER;
        };
        let start_rate = queue.start_rate(accepted.standing, accepted.length, now);
        let wait = queue.expected_wait(accepted, now) + 1.0 / start_rate;
        let unloaded_time = self
            .router
            .min_first_token_time(&accepted.model, accepted.prompt);
        let slack = accepted.due.since(now).saturating_sub(unloaded_time);
        let wait = span_from_secs(wait).min(MAX_RETRY_AFTER);
        let excess = wait.saturating_sub(slack).max(MIN_RETRY_AFTER);
        let Some(state) = self.contracts.get_mut(&accepted.contract) else {
            return excess;
        };
        state.retry_after(excess, now)
    }
}

/// Whether a request may exceed the share of long requests where slots are free: long
/// requests within their contracts may.
fn may_exceed_long_share(accepted: &AcceptedRequest) -> bool {
    accepted.standing == Standing::Within && accepted.length == Length::Long
}

/// The shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// The refusal reason of a request, which must not say "not run" if an attempt may have run.
fn refusal_reason(accepted: &AcceptedRequest, reason: RefusalReason) -> RefusalReason {
    if 0 < accepted.delivered.0 {
        return RefusalReason::Interrupted;
    }
    if 0 < accepted.failed_attempts {
        return RefusalReason::Failed;
    }
    reason
}
