//! What became of requests at replicas.

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

/// Attempts of one request, the first included.
const MAX_ATTEMPTS: u32 = 3;

impl Dispatcher {
    /// Takes the first token of an attempt. Ignored if the request is over.
    pub fn record_first_token(&mut self, id: RequestId, now: Time) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        in_flight.last_sign_of_life = now;
        if in_flight.generated == in_flight.waiting.delivered.0 {
            in_flight.generated += 1;
            let waiting = &in_flight.waiting;
            let allowed = waiting.due.since(waiting.arrived).as_secs_f64();
            let took = now.since(waiting.arrived).as_secs_f64();
            let part = took / allowed.max(1e-3);
            if let Some(queue) = self.queues.get_mut(&waiting.model) {
                queue.record_first_token(waiting, part, &self.cfg);
            }
        }
        self.router.first_token(id, now);
    }

    /// Takes `count` tokens after the first. Ignored if the request is over.
    pub fn record_tokens(&mut self, id: RequestId, count: u32, now: Time) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        in_flight.last_sign_of_life = now;
        in_flight.generated += count;
        self.router.tokens(id, count, now);
        self.correct_estimate(id);
    }

    /// Raises the estimate of an answer that runs longer, and counts it as long if need be.
    fn correct_estimate(&mut self, id: RequestId) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        let generated = f64::from(in_flight.generated);
        let waiting = &mut in_flight.waiting;
        if generated <= waiting.estimated_tokens {
            return;
        }
        let most = f64::from(waiting.max_tokens.0).max(generated);
        let raised = (waiting.estimated_tokens * 1.5).min(most).max(generated);
        let more = raised - waiting.estimated_tokens;
        waiting.estimated_tokens = raised;
        if let Some(contract_state) = self.contracts.get_mut(&waiting.contract)
            && waiting.charge == Charge::Counted
        {
            contract_state.tokens.charge(more);
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
            self.router.relabel_long(id);
        }
    }

    /// Takes the end of a whole answer. Ignored if the request is over.
    pub fn record_finished(&mut self, id: RequestId, now: Time) {
        let Some(in_flight) = self.in_flight.remove(&id) else {
            return;
        };
        self.router.finished(id, now);
        self.retry_budget.record_answer();
        let waiting = &in_flight.waiting;
        if let Some(queue) = self.queues.get_mut(&waiting.model) {
            queue.record_ended(waiting);
            queue.record_residence(waiting.length, now.since(in_flight.sent_at));
        }
        if let Some(contract_state) = self.contracts.get_mut(&waiting.contract) {
            contract_state.record_answer(in_flight.generated, waiting.max_tokens);
        }
        self.refund(waiting, in_flight.generated);
    }

    /// Takes a request out because its caller left or stopped reading. True if an
    /// attempt has to be cancelled at its replica.
    pub fn cancel(&mut self, id: RequestId, now: Time) -> bool {
        if let Some(key) = self.waiting.remove(&id) {
            let queue = self.queues.get_mut(&key.model);
            let fair_queue = queue.map(|queue| queue.queue(key.standing, key.length));
            if let Some(waiting) = fair_queue.and_then(|fair_queue| fair_queue.remove(&key.org, id))
            {
                self.refund(&waiting, waiting.delivered.0);
            }
            return false;
        }
        // A decision that was not polled yet is never given.
        let decided = self.decided.len();
        self.decided.retain(|(other, _)| *other != id);
        let Some(in_flight) = self.remove_attempt(id, now) else {
            return false;
        };
        self.refund(&in_flight.waiting, in_flight.generated);
        self.decided.len() == decided
    }

    fn remove_attempt(&mut self, id: RequestId, now: Time) -> Option<InFlight> {
        let in_flight = self.in_flight.remove(&id)?;
        self.router.failed(id, now);
        if let Some(queue) = self.queues.get_mut(&in_flight.waiting.model) {
            queue.record_ended(&in_flight.waiting);
        }
        Some(in_flight)
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
        let in_flight = self.remove_attempt(id, now)?;
        let reason = failure_reason(&in_flight, failure);
        let mut waiting = in_flight.waiting;
        waiting.failed_attempts += 1;
        let may_repeat = waiting.failed_attempts < MAX_ATTEMPTS && self.retry_budget.take_retry();
        if !may_repeat {
            let retry_after = self.retry_after(&waiting, now);
            self.refund(&waiting, in_flight.generated);
            return Some(refuse(reason, retry_after));
        }
        waiting.avoid = Some(in_flight.replica);
        waiting.delivered = TokenCount(in_flight.generated);
        if 0 < in_flight.generated {
            // The caller has its first token, so the rest is due as a long wait allows.
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

    /// Gives back the tokens that were counted and not generated.
    pub(crate) fn refund(&mut self, waiting: &WaitingRequest, generated: u32) {
        if waiting.charge == Charge::Uncounted {
            return;
        }
        let Some(contract_state) = self.contracts.get_mut(&waiting.contract) else {
            return;
        };
        contract_state
            .tokens
            .charge(f64::from(generated) - waiting.estimated_tokens);
        if generated == 0 && waiting.failed_attempts == 0 {
            contract_state.requests.charge(-1.0);
        }
    }

    /// Treats attempts that fell silent as lost.
    pub(crate) fn fail_silent_attempts(&mut self, now: Time) {
        if now < self.last_sweep + SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        let silence = self.cfg.silence_timeout;
        let silent = self
            .in_flight
            .iter()
            .filter(|(_, f)| f.last_sign_of_life + silence <= now);
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
const CONTINUATION_TIMEOUT: Duration = Duration::from_secs(2);

/// The truth about a failed attempt that is not repeated.
fn failure_reason(in_flight: &InFlight, failure: Failure) -> RefusalReason {
    if 0 < in_flight.generated {
        return RefusalReason::Interrupted;
    }
    match failure {
        Failure::Refused if in_flight.waiting.failed_attempts == 0 => RefusalReason::Late,
        Failure::Refused | Failure::Lost => RefusalReason::Failed,
    }
}
