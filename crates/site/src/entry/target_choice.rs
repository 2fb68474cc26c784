//! The choice of a request's target: when one is free, which ones may get it, and whether failures
//! speak against them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::entry::answer::Refusal;
use crate::entry::limits::closed_targets;
use crate::entry::request_forwarder::RequestForwarder;
use crate::entry::statements::resting_targets;
use base::Time;
use base::UpstreamId;
use forward::ChooseError;
use forward::RestingTargets;
use forward::Target;
use forward::TargetQuery;
use forward::TargetTable;
use quorum::clock;

/// A request may wait for a target with a free slot for its latency target divided by this.
const TARGET_WAIT_DIVISOR: u32 = 4;

/// The longest time between two attempts to find a target with a free slot.
const TARGET_RETRY_INTERVAL: Duration = Duration::from_millis(25);

static NONE_CLOSED: BTreeSet<UpstreamId> = BTreeSet::new();

static NONE_RESTING: RestingTargets = RestingTargets {
    own: BTreeMap::new(),
    elsewhere: BTreeSet::new(),
};

impl RequestForwarder {
    /// Chooses the target, waiting a short time for one with a free slot.
    pub(super) async fn choose_target(&mut self) -> Result<Target, Refusal> {
        let give_up_at = clock::now() + self.route.latency_target / TARGET_WAIT_DIVISOR;
        loop {
            let give_up_at = give_up_at.min(self.time_limit());
            let now = clock::now();
            let chosen = self.with_query(now, |targets, query| targets.choose(query, now));
            let choose_error = match chosen {
                Ok(target) => return Ok(target),
                Err(choose_error) => choose_error,
            };
            // Nothing else is worth a wait until the first of them is back.
            let is_hopeless =
                matches!(choose_error, ChooseError::AllResting(at) if give_up_at < at);
            if give_up_at <= now || is_hopeless {
                return Err(match (self.may_have_run, choose_error) {
                    (true, _) => Refusal::Lost,
                    (false, ChooseError::NoneKnown) => Refusal::NoTarget,
                    (false, ChooseError::AllFull) => Refusal::Full,
                    (false, ChooseError::AllResting(at)) => Refusal::Resting(at.since(now)),
                });
            }
            let left = give_up_at.since(now);
            self.entry
                .capacity_changed
                .wait(TARGET_RETRY_INTERVAL.min(left))
                .await;
        }
    }

    /// Asks the targets with what the request needs of them now.
    fn with_query<T>(
        &self,
        now: Time,
        ask: impl FnOnce(&mut TargetTable, &TargetQuery<'_>) -> T,
    ) -> T {
        let closed = closed_targets(&self.entry, &self.target_query(&NONE_CLOSED));
        let resting = resting_targets(&self.entry, now);
        let query = TargetQuery {
            resting: &resting,
            ..self.target_query(&closed)
        };
        ask(&mut self.entry.targets.borrow_mut(), &query)
    }

    /// Whether a target is left for the request that has not failed lately.
    pub(super) fn has_healthy(&self, now: Time) -> bool {
        self.with_query(now, |targets, query| targets.has_healthy(query, now))
    }

    fn target_query<'a>(&'a self, closed: &'a BTreeSet<UpstreamId>) -> TargetQuery<'a> {
        TargetQuery {
            service: &self.service,
            model: self.model.as_ref(),
            avoid: &self.avoid,
            closed,
            resting: &NONE_RESTING,
            trusts_health: self.trusts_health(),
            prefers_proven: self.unsent_attempts.prefers_proven(),
        }
    }

    /// Whether failures to connect speak against targets, and not against this host's way to them.
    pub(super) fn trusts_health(&self) -> bool {
        !self.entry.paths.borrow().is_suspect(&self.service)
    }

    /// Whether an attempt may be given up because its target is silent, after `attempts` that reached
    /// one: another target may be tried, one is available, and it can read the prompt again in the
    /// time that is left. Takes no retry from the budget.
    pub fn can_leave(&self, silent: &Target, attempts: u32) -> bool {
        let now = clock::now();
        let may_retry = self.route.kind.is_retryable()
            && attempts < self.route.attempts
            && self.may_repeat(now);
        may_retry
            && self
                .entry
                .retry_budget
                .borrow_mut()
                .has_retry(&self.service, now)
            && self.would_another_answer(silent, now)
    }

    /// Whether a target other than the silent one is expected to begin an answer in time.
    fn would_another_answer(&self, silent: &Target, now: Time) -> bool {
        let mut avoid = self.avoid.clone();
        avoid.insert(silent.id.clone());
        let other = self.with_query(now, |targets, query| {
            let avoid = &avoid;
            targets.choose(&TargetQuery { avoid, ..*query }, now)
        });
        let left = self.time_limit().since(now).as_secs_f64();
        other.is_ok_and(|other| other.expected_backlog(now) + self.request.prompt_secs < left)
    }
}
