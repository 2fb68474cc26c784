//! What became of requests at replicas.

use std::time::Duration;

use crate::Decision;
use crate::Dispatcher;
use crate::Failure;
use crate::RefusalReason;
use crate::dispatcher::SWEEP;
use crate::dispatcher::refuse;
use crate::flight::Flight;
use crate::lane::Charge;
use crate::lane::Waiting;
use crate::length::work;
use base::RequestId;
use base::Time;
use base::TokenCount;
use route::Length;

/// Attempts of one request, the first included.
const MOST_ATTEMPTS: u32 = 3;

impl Dispatcher {
    /// Takes the first token of an attempt. Ignored if the request is over.
    pub fn record_first_token(&mut self, id: RequestId, now: Time) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.seen = now;
        if flight.generated == flight.waiting.from.0 {
            flight.generated += 1;
            let waiting = &flight.waiting;
            let allowed = waiting.due.since(waiting.arrived).as_secs_f64();
            let took = now.since(waiting.arrived).as_secs_f64();
            let part = took / allowed.max(1e-3);
            if let Some(queue) = self.queues.get_mut(&waiting.model) {
                queue.observe(waiting, part, &self.cfg);
            }
        }
        self.router.first_token(id, now);
    }

    /// Takes `count` tokens after the first. Ignored if the request is over.
    pub fn record_tokens(&mut self, id: RequestId, count: u32, now: Time) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.seen = now;
        flight.generated += count;
        self.router.tokens(id, count, now);
        self.correct_estimate(id);
    }

    /// Raises the estimate of an answer that runs longer, and counts it as long if need be.
    fn correct_estimate(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let generated = f64::from(flight.generated);
        let waiting = &mut flight.waiting;
        if generated <= waiting.estimate {
            return;
        }
        let most = f64::from(waiting.max_tokens.0).max(generated);
        let raised = (waiting.estimate * 1.5).min(most).max(generated);
        let more = raised - waiting.estimate;
        waiting.estimate = raised;
        if let Some(terms) = self.terms.get_mut(&waiting.contract)
            && waiting.charge == Charge::Counted
        {
            terms.tokens.charge(more);
        }
        let Some(queue) = self.queues.get_mut(&waiting.model) else {
            return;
        };
        let amount = work(waiting.prompt, raised);
        let length = queue.usual.classify(amount, self.cfg.long_factor);
        if length == Length::Long && waiting.length == Length::Short {
            queue.ended(waiting);
            waiting.length = Length::Long;
            queue.started(waiting);
            self.router.relabel_long(id);
        }
    }

    /// Takes the end of a whole answer. Ignored if the request is over.
    pub fn record_finished(&mut self, id: RequestId, now: Time) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        self.router.finished(id, now);
        self.retries.answered();
        let waiting = &flight.waiting;
        if let Some(queue) = self.queues.get_mut(&waiting.model) {
            queue.ended(waiting);
            queue.held(waiting.length, now.since(flight.sent));
        }
        if let Some(terms) = self.terms.get_mut(&waiting.contract) {
            terms.learn(flight.generated, waiting.max_tokens);
        }
        self.refund(waiting, flight.generated);
    }

    /// Takes a request out because its caller left or stopped reading. True if an
    /// attempt has to be cancelled at its replica.
    pub fn cancel(&mut self, id: RequestId, now: Time) -> bool {
        if let Some(spot) = self.spots.remove(&id) {
            let queue = self.queues.get_mut(&spot.model);
            let lane = queue.map(|queue| queue.lane(spot.standing, spot.length));
            if let Some(waiting) = lane.and_then(|lane| lane.remove(&spot.org, id)) {
                self.refund(&waiting, waiting.from.0);
            }
            return false;
        }
        // A decision that was not polled yet is never given.
        let decided = self.decided.len();
        self.decided.retain(|(other, _)| *other != id);
        let Some(flight) = self.end_attempt(id, now) else {
            return false;
        };
        self.refund(&flight.waiting, flight.generated);
        self.decided.len() == decided
    }

    fn end_attempt(&mut self, id: RequestId, now: Time) -> Option<Flight> {
        let flight = self.flights.remove(&id)?;
        self.router.failed(id, now);
        if let Some(queue) = self.queues.get_mut(&flight.waiting.model) {
            queue.ended(&flight.waiting);
        }
        Some(flight)
    }

    /// Takes a failed attempt and decides what follows. `None` if the request is over.
    ///
    /// A second try is made only within the budget. After delivered tokens it is an
    /// exact continuation, marked by `from` in [`Decision::Send`].
    pub fn handle_failure(
        &mut self,
        id: RequestId,
        failure: Failure,
        now: Time,
    ) -> Option<Decision> {
        let flight = self.end_attempt(id, now)?;
        let reason = reason_of(&flight, failure);
        let mut waiting = flight.waiting;
        waiting.attempts += 1;
        let may_repeat = waiting.attempts < MOST_ATTEMPTS && self.retries.take();
        if !may_repeat {
            let retry_after = self.retry_after(&waiting, now);
            self.refund(&waiting, flight.generated);
            return Some(refuse(reason, retry_after));
        }
        waiting.avoid = Some(flight.replica);
        waiting.from = TokenCount(flight.generated);
        if 0 < flight.generated {
            // The caller has its first token, so the rest is due as a long wait allows.
            waiting.due = waiting.due.max(now + CONTINUE_WITHIN);
            waiting.leaves = waiting.due;
        }
        let model = waiting.model.clone();
        self.enqueue_first(waiting);
        self.pump(&model, now);
        let mine = self.decided.iter().position(|(other, _)| *other == id);
        Some(match mine {
            Some(at) => self.decided.remove(at).1,
            None => Decision::Queued,
        })
    }

    /// Gives back the tokens that were counted and not generated.
    pub(crate) fn refund(&mut self, waiting: &Waiting, generated: u32) {
        if waiting.charge == Charge::Free {
            return;
        }
        let Some(terms) = self.terms.get_mut(&waiting.contract) else {
            return;
        };
        terms.tokens.charge(f64::from(generated) - waiting.estimate);
        if generated == 0 && waiting.attempts == 0 {
            terms.requests.charge(-1.0);
        }
    }

    /// Treats attempts that fell silent as lost.
    pub(crate) fn sweep_if_due(&mut self, now: Time) {
        if now < self.swept + SWEEP {
            return;
        }
        self.swept = now;
        let silence = self.cfg.silence_timeout;
        let silent = self.flights.iter().filter(|(_, f)| f.seen + silence <= now);
        let silent: Vec<_> = silent.map(|(id, _)| *id).collect();
        for id in silent {
            if let Some(decision) = self.handle_failure(id, Failure::Lost, now)
                && decision != Decision::Queued
            {
                self.decided.push((id, decision));
            }
        }
    }
}

/// A broken answer is continued within this time or ended.
const CONTINUE_WITHIN: Duration = Duration::from_secs(2);

/// The truth about a failed attempt that is not repeated.
fn reason_of(flight: &Flight, failure: Failure) -> RefusalReason {
    if 0 < flight.generated {
        return RefusalReason::Interrupted;
    }
    match failure {
        Failure::Refused if flight.waiting.attempts == 0 => RefusalReason::Late,
        Failure::Refused | Failure::Lost => RefusalReason::Failed,
    }
}
