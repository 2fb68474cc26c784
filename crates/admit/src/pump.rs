//! Sends what waits, in fair order, and refuses what can't be answered in time.

use std::time::Duration;

use crate::Decision;
use crate::Dispatcher;
use crate::LoadLimit;
use crate::RefusalReason;
use crate::Standing;
use crate::dispatcher::refuse;
use crate::fair_queue::WaitingRequest;
use crate::in_flight::InFlight;
use base::ModelName;
use base::RequestId;
use base::Time;
use route::Ask;
use route::Choice;
use route::Length;
use route::Miss;
use route::Slice;

/// Part of its share up to which long work goes before short.
const LONG_FIRST_SHARE: f64 = 0.8;
/// Long work may exceed its share by this factor where slots are free.
const LONG_EXCESS_FACTOR: f64 = 1.5;
/// Share of a replica's slots up to which slots count as free for that.
const LONG_EXCESS_FILL: f64 = 0.75;
/// The longest time that a refused caller is told to stay away.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// What became of the head of a fair_queue.
enum HeadOutcome {
    /// It left the fair_queue.
    Removed,
    /// Nothing of this fair_queue can go now.
    Blocked,
}

impl Dispatcher {
    /// Moves the queue of a model on.
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

    /// True while long work holds less than the share that it is given first.
    fn is_long_first(&self, model: &ModelName) -> bool {
        let Some(queue) = self.queues.get(model) else {
            return false;
        };
        let share = self.long_quota(model) * self.router.count(model) as f64;
        0 < queue.waiting_count(Length::Long)
            && f64::from(queue.running_count(Length::Long)) < LONG_FIRST_SHARE * share
    }

    /// Long requests that this node may have at one replica.
    fn long_quota(&self, model: &ModelName) -> f64 {
        let replicas = self.router.count(model).max(1) as f64;
        let slots = self.router.slots(model) as f64 / replicas;
        let share = self.queues.get(model).map_or(1.0, |queue| queue.long_share);
        slots * self.cfg.long_share * share
    }

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
        let Some(waiting) = queue.queue(standing, length).pop() else {
            return HeadOutcome::Blocked;
        };
        match self.find_replica(&waiting, now) {
            Ok((ask, choice)) => {
                self.send(waiting, &ask, &choice, now);
                HeadOutcome::Removed
            }
            Err(Miss::Full) => {
                self.enqueue_first(waiting);
                HeadOutcome::Blocked
            }
            Err(Miss::Late) => {
                self.use_fallback_or_refuse(waiting, RefusalReason::Late, now);
                HeadOutcome::Removed
            }
            Err(Miss::NoReplica) => {
                self.use_fallback_or_refuse(waiting, RefusalReason::NoReplica, now);
                HeadOutcome::Removed
            }
        }
    }

    /// Finds a replica for a request.
    fn find_replica(&mut self, waiting: &WaitingRequest, now: Time) -> Result<(Ask, Choice), Miss> {
        let limit = self.load_limit(waiting);
        let mut ask = Ask {
            prompt: waiting.prompt,
            length: waiting.length,
            standing: waiting.standing,
            prefix: waiting.prefix,
            budget: waiting.due.since(now),
            token_rate: waiting.token_rate,
            fill: limit.fill,
            backlog: limit.backlog,
            long_quota: self.long_quota(&waiting.model),
            slice: self.replica_slice(waiting),
            avoid: waiting.avoid,
        };
        match self.router.choose(&waiting.model, &ask, now) {
            Ok(choice) => return Ok((ask, choice)),
            Err(Miss::Full) if may_exceed_long_share(waiting) => {}
            Err(miss) => return Err(miss),
        }
        ask.long_quota *= LONG_EXCESS_FACTOR;
        ask.fill = LONG_EXCESS_FILL;
        let choice = self.router.choose(&waiting.model, &ask, now)?;
        Ok((ask, choice))
    }

    /// How busy a replica may be for a request to go there.
    fn load_limit(&self, waiting: &WaitingRequest) -> LoadLimit {
        let mut limit = self.cfg.load_limit(waiting.standing, waiting.length);
        if let Some(queue) = self.queues.get(&waiting.model) {
            limit.fill = queue.max_fill(waiting, limit.fill);
        }
        limit
    }

    /// Lent capacity is divided among the nodes by replicas, so that two nodes never take
    /// the same free slot.
    fn replica_slice(&self, waiting: &WaitingRequest) -> Option<Slice> {
        match waiting.standing {
            Standing::Within => None,
            Standing::Beyond => self.queues.get(&waiting.model)?.slice,
        }
    }

    fn send(&mut self, waiting: WaitingRequest, ask: &Ask, choice: &Choice, now: Time) {
        let request = waiting.request;
        self.waiting.remove(&request);
        self.retry_budget.record_sent();
        self.router.sent(request, &waiting.model, ask, choice, now);
        let queue = self.queues.entry(waiting.model.clone()).or_default();
        queue.record_started(&waiting);
        queue.record_sent(&waiting, now);
        queue.queue_of(&waiting).record_sent(&waiting);
        let decision = Decision::Send {
            replica: choice.replica,
            priority: waiting.priority,
            model: waiting.model.clone(),
            delivered: waiting.delivered,
        };
        let in_flight = InFlight {
            replica: choice.replica,
            sent_at: now,
            last_sign_of_life: now,
            generated: waiting.delivered.0,
            waiting,
        };
        self.in_flight.insert(request, in_flight);
        self.decided.push((request, decision));
    }

    /// Refuses each request that would no longer get its first token in time.
    fn refuse_late(&mut self, model: &ModelName, now: Time) {
        let router = &self.router;
        let Some(queue) = self.queues.get_mut(model) else {
            return;
        };
        let late = queue.take_late(now, |waiting, wait| {
            let alone = router.alone(&waiting.model, waiting.prompt);
            let sent = now + Duration::from_secs_f64(wait);
            waiting.due < sent + alone || waiting.queue_until < sent
        });
        for waiting in late {
            self.use_fallback_or_refuse(waiting, RefusalReason::Late, now);
        }
    }

    /// Tries the other model of the contract, else refuses.
    fn use_fallback_or_refuse(
        &mut self,
        mut waiting: WaitingRequest,
        reason: RefusalReason,
        now: Time,
    ) {
        let other = self.fallback_model(&waiting.contract);
        if let Some(other) = other.filter(|other| *other != waiting.model) {
            let first = std::mem::replace(&mut waiting.model, other);
            if let Ok((ask, choice)) = self.find_replica(&waiting, now) {
                self.send(waiting, &ask, &choice, now);
                return;
            }
            waiting.model = first;
        }
        let retry_after = self.retry_after(&waiting, now);
        if let Some(queue) = self.queues.get_mut(&waiting.model) {
            queue.record_refusal(&waiting, &self.cfg);
        }
        self.retry_budget.record_refusal();
        self.refund(&waiting, 0);
        self.decide_refusal(
            waiting.request,
            refusal_reason(&waiting, reason),
            retry_after,
        );
    }

    pub(crate) fn decide_refusal(&mut self, id: RequestId, reason: RefusalReason, after: Duration) {
        self.waiting.remove(&id);
        self.decided.push((id, refuse(reason, after)));
    }

    /// When a request like this one would be sent in time, from the queue as it is.
    pub(crate) fn retry_after(&mut self, waiting: &WaitingRequest, now: Time) -> Duration {
        let Some(queue) = self.queues.get(&waiting.model) else {
            return MAX_RETRY_AFTER;
        };
        let drain = queue.start_rate(waiting.standing, waiting.length, now);
        let wait = queue.expected_wait(waiting, now) + 1.0 / drain;
        let alone = self.router.alone(&waiting.model, waiting.prompt);
        let spare = waiting.due.since(now).saturating_sub(alone);
        let wait = Duration::from_secs_f64(wait.min(MAX_RETRY_AFTER.as_secs_f64()));
        let excess = wait.saturating_sub(spare).max(MIN_RETRY_AFTER);
        let Some(contract_state) = self.contracts.get_mut(&waiting.contract) else {
            return excess;
        };
        contract_state.retry_after(excess, now)
    }
}

/// True for long work within its contract, which may use slots that are free.
fn may_exceed_long_share(waiting: &WaitingRequest) -> bool {
    waiting.standing == Standing::Within && waiting.length == Length::Long
}

/// The shortest time that a refused caller is told to stay away.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// A request that already ran somewhere is not refused as one that did not.
fn refusal_reason(waiting: &WaitingRequest, reason: RefusalReason) -> RefusalReason {
    if 0 < waiting.delivered.0 {
        return RefusalReason::Interrupted;
    }
    if 0 < waiting.failed_attempts {
        return RefusalReason::Failed;
    }
    reason
}
