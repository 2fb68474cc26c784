//! Feedback on requests at replicas: tokens, ends, failures and cancellations.

use std::time::Duration;

use crate::Decision;
use crate::Dispatcher;
use crate::Failure;
use crate::RefusalReason;
use crate::dispatcher::SWEEP_INTERVAL;
use crate::dispatcher::refuse;
use crate::fair_queue::Charge;
use crate::fair_queue::WaitingRequest;
use crate::in_flight::InFlight;
use crate::length::work;
use base::RequestId;
use base::Time;
use base::TokenCount;
use route::Length;

/// The most attempts of one request, including the first.
const MAX_ATTEMPTS: u32 = 3;

impl Dispatcher {
    /// Records the first token of an attempt. Ignored if the request is over.
    pub fn record_first_token(&mut self, id: RequestId, now: Time) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        in_flight.last_token_at = now;
        if in_flight.generated == in_flight.waiting.delivered.0 {
            in_flight.generated += 1;
            let waiting = &in_flight.waiting;
            let allowed = waiting.due.since(waiting.arrived).as_secs_f64();
            let took = now.since(waiting.arrived).as_secs_f64();
            let fraction = took / allowed.max(1e-3);
            if let Some(queue) = self.queues.get_mut(&waiting.model) {
                queue.record_first_token(waiting, fraction, &self.cfg);
            }
        }
        self.router.record_first_token(id, now);
    }

    /// Records `count` tokens after the first. Ignored if the request is over.
    pub fn record_tokens(&mut self, id: RequestId, count: u32, now: Time) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        in_flight.last_token_at = now;
        in_flight.generated += count;
        self.router.record_tokens(id, count, now);
        self.correct_estimate(id);
    }

    /// Raises the estimated length of an answer that exceeds it, and reclassifies the request
    /// as long if it now is.
    fn correct_estimate(&mut self, id: RequestId) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        let generated = f64::from(in_flight.generated);
        let waiting = &mut in_flight.waiting;
        if generated <= waiting.estimated_tokens {
            return;
        }
        let max_tokens = f64::from(waiting.max_tokens.0).max(generated);
        let raised = (waiting.estimated_tokens * 1.5)
            .min(max_tokens)
            .max(generated);
        let more = raised - waiting.estimated_tokens;
        waiting.estimated_tokens = raised;
        if let Some(state) = self.contracts.get_mut(&waiting.contract)
            && waiting.charge == Charge::Counted
        {
            state.tokens.charge(more);
        }
        let Some(queue) = self.queues.get_mut(&waiting.model) else {
            return;
        };
        let amount = work(waiting.prompt, raised);
        let length = queue.work_median.classify(amount, self.cfg.long_factor);
        if length == Length::Long && waiting.length == Length::Short {
            queue.record_ended(waiting);
            waiting.length = Length::Long;
            queue.record_started(waiting);
            self.router.mark_long(id);
        }
    }

    /// Records the end of a complete answer. Ignored if the request is over.
    pub fn record_finished(&mut self, id: RequestId, now: Time) {
        let Some(in_flight) = self.in_flight.remove(&id) else {
            return;
        };
        self.router.record_finished(id, now);
        self.retry_budget.record_answer();
        let waiting = &in_flight.waiting;
        if let Some(queue) = self.queues.get_mut(&waiting.model) {
            queue.record_ended(waiting);
            queue.record_residence(waiting.length, now.since(in_flight.sent_at));
        }
        if let Some(state) = self.contracts.get_mut(&waiting.contract) {
            state.record_answer(in_flight.generated, waiting.max_tokens);
        }
        self.refund(waiting, in_flight.generated);
    }

    /// Removes a request whose caller left or stopped reading. True if an attempt has to be
    /// cancelled at its replica.
    pub fn cancel(&mut self, id: RequestId, now: Time) -> bool {
        if let Some(key) = self.waiting.remove(&id) {
            let queue = self.queues.get_mut(&key.model);
            let fair_queue = queue.map(|queue| queue.fair_queue(key.standing, key.length));
            if let Some(waiting) = fair_queue.and_then(|fair_queue| fair_queue.remove(&key.org, id))
            {
                self.refund(&waiting, waiting.delivered.0);
            }
            return false;
        }
        // A decision that no poll has returned yet is dropped.
        let decided = self.decided.len();
        self.decided.retain(|(other, _)| *other != id);
        let Some(in_flight) = self.remove_attempt(id, now) else {
            return false;
        };
        self.refund(&in_flight.waiting, in_flight.generated);
        self.decided.len() == decided
    }

    /// Removes a request that is at a replica from all counts.
    fn remove_attempt(&mut self, id: RequestId, now: Time) -> Option<InFlight> {
        let in_flight = self.in_flight.remove(&id)?;
        self.router.record_failed(id, now);
        if let Some(queue) = self.queues.get_mut(&in_flight.waiting.model) {
            queue.record_ended(&in_flight.waiting);
        }
        Some(in_flight)
    }

    /// Handles a failed attempt and decides what follows. `None` if the request is over.
    ///
    /// The request is retried only within the retry budget. If the caller already has tokens,
    /// the retry continues the answer after them, as `delivered` in [`Decision::Send`] says.
    pub fn handle_failure(
        &mut self,
        id: RequestId,
        failure: Failure,
        now: Time,
    ) -> Option<Decision> {
        let in_flight = self.remove_attempt(id, now)?;
        let reason = failure_reason(&in_flight, failure);
        let mut waiting = in_flight.waiting;
        waiting.failed_attempts += 1;
        let may_retry = waiting.failed_attempts < MAX_ATTEMPTS && self.retry_budget.take_retry();
        if !may_retry {
            let retry_after = self.retry_after(&waiting, now);
            self.refund(&waiting, in_flight.generated);
            return Some(refuse(reason, retry_after));
        }
        waiting.avoid = Some(in_flight.replica);
        waiting.delivered = TokenCount(in_flight.generated);
        if 0 < in_flight.generated {
            // The caller already has its first token, so only the time limit for continuations
            // counts.
            waiting.due = waiting.due.max(now + CONTINUATION_TIMEOUT);
            waiting.queue_until = waiting.due;
        }
        let model = waiting.model.clone();
        self.enqueue_first(waiting);
        self.process_queue(&model, now);
        let own = self.decided.iter().position(|(other, _)| *other == id);
        Some(match own {
            Some(at) => self.decided.remove(at).1,
            None => Decision::Queued,
        })
    }

    /// Corrects the counted tokens to those that were generated. A request that never ran no
    /// longer counts against the request limit either.
    pub(crate) fn refund(&mut self, waiting: &WaitingRequest, generated: u32) {
        if waiting.charge == Charge::Uncounted {
            return;
        }
        let Some(state) = self.contracts.get_mut(&waiting.contract) else {
            return;
        };
        state
            .tokens
            .charge(f64::from(generated) - waiting.estimated_tokens);
        if generated == 0 && waiting.failed_attempts == 0 {
            state.requests.charge(-1.0);
        }
    }

    /// Treats attempts without a token for too long as lost.
    pub(crate) fn fail_silent_attempts(&mut self, now: Time) {
        if now < self.last_sweep + SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        let timeout = self.cfg.silence_timeout;
        let silent = self
            .in_flight
            .iter()
            .filter(|(_, f)| f.last_token_at + timeout <= now);
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

/// An interrupted answer must be continued within this time, or the request is refused.
const CONTINUATION_TIMEOUT: Duration = Duration::from_secs(2);

/// The refusal reason after a failed attempt that is not retried.
fn failure_reason(in_flight: &InFlight, failure: Failure) -> RefusalReason {
    if 0 < in_flight.generated {
        return RefusalReason::Interrupted;
    }
    match failure {
        Failure::Refused if in_flight.waiting.failed_attempts == 0 => RefusalReason::Late,
        Failure::Refused | Failure::Lost => RefusalReason::Failed,
    }
}
