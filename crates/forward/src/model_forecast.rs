//! Forecasts when a model's replicas begin to answer, and decides which requests one of them
//! still has room for.
//!
//! The answer for more work than a model's replicas can do in time. Without it prompts pile
//! up at the replicas until every answer is late. With it a request is sent while its first
//! event probably comes in time; less urgent requests leave room for more urgent ones of the
//! same model; and what would be late anyway is sent only where it makes nothing else late.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Target;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// How much longer a prompt takes to read than on an idle replica, because running requests
/// take turns with it.
const READING_SLOWDOWN: f64 = 1.75;

/// What each running request adds to the wait at a replica with time factor 1, in seconds.
const RUNNING_WAIT: f64 = 0.002;

/// The assumed time of an answer before one was measured, in seconds.
const DEFAULT_ANSWER_SECS: f64 = 1.5;

/// The part of the wait that a more urgent class tolerates up to which a less urgent one is
/// sent.
const LESS_URGENT_SHARE: f64 = 0.7;

/// The part of the wait that the most pressing class tolerates up to which requests that will
/// be late are sent.
const LATE_SHARE: f64 = 0.8;

/// Requests that will be late are sent at least up to this wait, in seconds.
const MIN_LATE_LIMIT_SECS: f64 = 0.03;

/// The step by which the median of the time until the first event follows its samples, in
/// seconds.
const BASE_STEP_SECS: f64 = 0.001;

/// The median starts at most here, in seconds.
const MAX_FIRST_BASE_SECS: f64 = 0.2;

/// How urgent a request is.
#[derive(Clone, Copy, Debug)]
pub struct Urgency {
    /// The priority of its route. Zero is the most urgent.
    pub priority: u8,
    /// The target time until its first event.
    pub latency_target: Duration,
    /// How long it has been waiting.
    pub waited: Duration,
}

/// What is known of the requests for one model and their answers.
#[derive(Clone, Debug, Default)]
pub struct ModelForecast {
    /// Time until the first event at a replica without other work, less the time to read the
    /// prompt, in seconds: the median, which stalled replicas hardly change.
    base_secs: Option<f64>,
    /// Time from sending a request to the end of its answer, in seconds.
    answer_secs: Option<f64>,
    /// The shortest latency target of each priority that was seen, in seconds.
    latency_targets: BTreeMap<u8, f64>,
}

impl ModelForecast {
    /// How long a further request would wait at a replica before its own prompt is read, in
    /// seconds.
    pub fn wait_secs(&self, target: &Target) -> f64 {
        let load = f64::from(target.load());
        let slots = f64::from(target.slots.max(1));
        let unread = target.own_prompt_secs + target.other_prompt_secs;
        let queued = (load + 1.0 - slots).max(0.0);
        let slot_secs = self.answer_secs.unwrap_or(DEFAULT_ANSWER_SECS) / slots;
        READING_SLOWDOWN * unread + RUNNING_WAIT * target.time_factor * load + slot_secs * queued
    }

    /// Whether a replica at which a request would wait for `wait_secs` has room for it.
    pub fn has_room(&self, urgency: &Urgency, prompt_secs: f64, wait_secs: f64) -> bool {
        let own_secs = self.base() + READING_SLOWDOWN * prompt_secs;
        let left = urgency.latency_target.as_secs_f64() - urgency.waited.as_secs_f64();
        let is_in_time = own_secs + wait_secs <= left;
        let more_urgent = self.latency_targets.range(..urgency.priority);
        let limits = more_urgent.map(|(_, target)| LESS_URGENT_SHARE * (target - self.base()));
        let is_below_limits = limits.fold(true, |is_below, limit| is_below && wait_secs <= limit);
        (is_in_time && is_below_limits) || wait_secs <= self.late_limit()
    }

    /// Records that requests of a priority have a latency target.
    pub fn record_class(&mut self, urgency: &Urgency) {
        let target = urgency.latency_target.as_secs_f64();
        let known = self
            .latency_targets
            .entry(urgency.priority)
            .or_insert(target);
        *known = known.min(target);
    }

    /// Records that the first event of a request came after `secs`, for which a wait of
    /// `wait_secs` was forecast.
    pub fn record_first_event(&mut self, secs: f64, prompt_secs: f64, wait_secs: f64) {
        let base = (secs - READING_SLOWDOWN * prompt_secs - wait_secs).max(0.0);
        let known = *self.base_secs.get_or_insert(base.min(MAX_FIRST_BASE_SECS));
        let step = BASE_STEP_SECS.copysign(base - known);
        self.base_secs = Some((known + step).max(0.0));
    }

    /// Records the time of a whole answer.
    pub fn record_answer(&mut self, secs: f64) {
        let known = self.answer_secs.unwrap_or(secs);
        self.answer_secs = Some(known + SAMPLE_WEIGHT * (secs - known));
    }

    fn base(&self) -> f64 {
        self.base_secs.unwrap_or_default()
    }

    /// The wait at a replica up to which requests that will be late are sent, in seconds.
    fn late_limit(&self) -> f64 {
        let targets = self.latency_targets.values();
        let most_pressing = targets.copied().fold(f64::INFINITY, f64::min);
        (LATE_SHARE * (most_pressing - self.base())).max(MIN_LATE_LIMIT_SECS)
    }
}
