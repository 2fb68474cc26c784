//! Sends what waits, in fair order, and refuses what can't be answered in time.

use std::time::Duration;

use crate::Decision;
use crate::Dispatcher;
use crate::LoadLimit;
use crate::RefusalReason;
use crate::Standing;
use crate::dispatcher::refuse;
use crate::flight::Flight;
use crate::lane::Waiting;
use base::ModelName;
use base::RequestId;
use base::Time;
use route::Ask;
use route::Choice;
use route::Length;
use route::Miss;
use route::Slice;

/// Part of its share up to which long work goes before short.
const LONG_FIRST: f64 = 0.8;
/// Long work may exceed its share by this factor where slots are free.
const LONG_LENT: f64 = 1.5;
/// Share of a replica's slots up to which slots count as free for that.
const LENT_FILL: f64 = 0.75;
/// The longest time that a refused caller is told to stay away.
const LONGEST_RETRY: Duration = Duration::from_secs(30);

/// What became of the head of a lane.
enum Step {
    /// It left the lane.
    Moved,
    /// Nothing of this lane can go now.
    Blocked,
}

impl Dispatcher {
    /// Moves the queue of a model on.
    pub(crate) fn pump(&mut self, model: &ModelName, now: Time) {
        if self.queues.get(model).is_none_or(|queue| queue.len() == 0) {
            return;
        }
        while self.is_long_first(model) {
            if let Step::Blocked = self.step(model, Standing::Within, Length::Long, now) {
                break;
            }
        }
        for standing in [Standing::Within, Standing::Beyond] {
            for length in [Length::Short, Length::Long] {
                while let Step::Moved = self.step(model, standing, length, now) {}
            }
        }
        self.refuse_hopeless(model, now);
    }

    /// True while long work holds less than the share that it is given first.
    fn is_long_first(&self, model: &ModelName) -> bool {
        let Some(queue) = self.queues.get(model) else {
            return false;
        };
        let share = self.long_quota(model) * self.router.count(model) as f64;
        0 < queue.waiting(Length::Long)
            && f64::from(queue.running(Length::Long)) < LONG_FIRST * share
    }

    /// Long requests that this node may have at one replica.
    fn long_quota(&self, model: &ModelName) -> f64 {
        let replicas = self.router.count(model).max(1) as f64;
        let slots = self.router.slots(model) as f64 / replicas;
        let share = self.queues.get(model).map_or(1.0, |queue| queue.long_share);
        slots * self.cfg.long_share * share
    }

    fn step(&mut self, model: &ModelName, standing: Standing, length: Length, now: Time) -> Step {
        let Some(queue) = self.queues.get_mut(model) else {
            return Step::Blocked;
        };
        let Some(waiting) = queue.lane(standing, length).pop() else {
            return Step::Blocked;
        };
        match self.find(&waiting, now) {
            Ok((ask, choice)) => {
                self.send(waiting, &ask, &choice, now);
                Step::Moved
            }
            Err(Miss::Full) => {
                self.enqueue_first(waiting);
                Step::Blocked
            }
            Err(Miss::Late) => {
                self.give_up(waiting, RefusalReason::Late, now);
                Step::Moved
            }
            Err(Miss::NoReplica) => {
                self.give_up(waiting, RefusalReason::NoReplica, now);
                Step::Moved
            }
        }
    }

    /// Finds a replica for a request.
    fn find(&mut self, waiting: &Waiting, now: Time) -> Result<(Ask, Choice), Miss> {
        let room = self.room(waiting);
        let mut ask = Ask {
            prompt: waiting.prompt,
            length: waiting.length,
            standing: waiting.standing,
            prefix: waiting.prefix,
            budget: waiting.due.since(now),
            token_rate: waiting.token_rate,
            fill: room.fill,
            backlog: room.backlog,
            long_quota: self.long_quota(&waiting.model),
            slice: self.slice(waiting),
            avoid: waiting.avoid,
        };
        match self.router.choose(&waiting.model, &ask, now) {
            Ok(choice) => return Ok((ask, choice)),
            Err(Miss::Full) if may_exceed_share(waiting) => {}
            Err(miss) => return Err(miss),
        }
        ask.long_quota *= LONG_LENT;
        ask.fill = LENT_FILL;
        let choice = self.router.choose(&waiting.model, &ask, now)?;
        Ok((ask, choice))
    }

    /// How busy a replica may be for a request to go there.
    fn room(&self, waiting: &Waiting) -> LoadLimit {
        let mut room = self.cfg.load_limit(waiting.standing, waiting.length);
        if let Some(queue) = self.queues.get(&waiting.model) {
            room.fill = queue.fill(waiting, room.fill);
        }
        room
    }

    /// Lent capacity is divided among the nodes by replicas, so that two nodes never take
    /// the same free slot.
    fn slice(&self, waiting: &Waiting) -> Option<Slice> {
        match waiting.standing {
            Standing::Within => None,
            Standing::Beyond => self.queues.get(&waiting.model)?.slice,
        }
    }

    fn send(&mut self, waiting: Waiting, ask: &Ask, choice: &Choice, now: Time) {
        let request = waiting.request;
        self.spots.remove(&request);
        self.retries.admitted();
        self.router.sent(request, &waiting.model, ask, choice, now);
        let queue = self.queues.entry(waiting.model.clone()).or_default();
        queue.started(&waiting);
        queue.sent(&waiting, now);
        queue.lane_of(&waiting).charge(&waiting);
        let decision = Decision::Send {
            replica: choice.replica,
            priority: waiting.priority,
            model: waiting.model.clone(),
            delivered: waiting.from,
        };
        let flight = Flight {
            replica: choice.replica,
            sent: now,
            seen: now,
            generated: waiting.from.0,
            waiting,
        };
        self.flights.insert(request, flight);
        self.decided.push((request, decision));
    }

    /// Refuses each request that would no longer get its first token in time.
    fn refuse_hopeless(&mut self, model: &ModelName, now: Time) {
        let router = &self.router;
        let Some(queue) = self.queues.get_mut(model) else {
            return;
        };
        let hopeless = queue.take_hopeless(now, |waiting, wait| {
            let alone = router.alone(&waiting.model, waiting.prompt);
            let sent = now + Duration::from_secs_f64(wait);
            waiting.due < sent + alone || waiting.leaves < sent
        });
        for waiting in hopeless {
            self.give_up(waiting, RefusalReason::Late, now);
        }
    }

    /// Tries the other model of the contract, else refuses.
    fn give_up(&mut self, mut waiting: Waiting, reason: RefusalReason, now: Time) {
        let other = self.other_model(&waiting.contract);
        if let Some(other) = other.filter(|other| *other != waiting.model) {
            let first = std::mem::replace(&mut waiting.model, other);
            if let Ok((ask, choice)) = self.find(&waiting, now) {
                self.send(waiting, &ask, &choice, now);
                return;
            }
            waiting.model = first;
        }
        let retry_after = self.retry_after(&waiting, now);
        if let Some(queue) = self.queues.get_mut(&waiting.model) {
            queue.observe_refusal(&waiting, &self.cfg);
        }
        self.retries.refused();
        self.refund(&waiting, 0);
        self.decide_refusal(waiting.request, reason_after(&waiting, reason), retry_after);
    }

    pub(crate) fn decide_refusal(&mut self, id: RequestId, reason: RefusalReason, after: Duration) {
        self.spots.remove(&id);
        self.decided.push((id, refuse(reason, after)));
    }

    /// When a request like this one would be sent in time, from the queue as it is.
    pub(crate) fn retry_after(&mut self, waiting: &Waiting, now: Time) -> Duration {
        let Some(queue) = self.queues.get(&waiting.model) else {
            return LONGEST_RETRY;
        };
        let drain = queue.drain(waiting.standing, waiting.length, now);
        let wait = queue.wait(waiting, now) + 1.0 / drain;
        let alone = self.router.alone(&waiting.model, waiting.prompt);
        let spare = waiting.due.since(now).saturating_sub(alone);
        let wait = Duration::from_secs_f64(wait.min(LONGEST_RETRY.as_secs_f64()));
        let excess = wait.saturating_sub(spare).max(SHORTEST_RETRY);
        let Some(terms) = self.terms.get_mut(&waiting.contract) else {
            return excess;
        };
        terms.come_back(excess, now)
    }
}

/// True for long work within its contract, which may use slots that are free.
fn may_exceed_share(waiting: &Waiting) -> bool {
    waiting.standing == Standing::Within && waiting.length == Length::Long
}

/// The shortest time that a refused caller is told to stay away.
const SHORTEST_RETRY: Duration = Duration::from_millis(20);

/// A request that already ran somewhere is not refused as one that did not.
fn reason_after(waiting: &Waiting, reason: RefusalReason) -> RefusalReason {
    if 0 < waiting.from.0 {
        return RefusalReason::Interrupted;
    }
    if 0 < waiting.attempts {
        return RefusalReason::Failed;
    }
    reason
}
