//! Predicts the performance of a request at a replica.

use std::time::Duration;

use crate::RouteRequest;
use crate::replica::Replica;
use base::TokenRate;
use base::span_from_secs;

/// Assumed prefill rate of a replica that has not reported one, in tokens a second.
const DEFAULT_PREFILL_RATE: f64 = 4_000.0;

/// The predicted performance of a request at a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Time to the first token, measured at this node.
    pub first_token: Duration,
    /// Tokens a second once the request runs.
    pub token_rate: TokenRate,
    /// Share of the slots taken, this request included. May exceed one.
    pub fill: f64,
    /// The part of `first_token` that the request would take at an idle replica.
    pub unloaded_time: Duration,
    /// The wait for a slot.
    pub slot_wait: Duration,
    /// The backlog of prompt tokens at the replica, as time.
    pub backlog: Duration,
}

/// Values learned from all replicas of a model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LearnedValues {
    /// Seconds that a request holds a slot.
    pub residence_s: f64,
    /// Fraction of the reported prefill backlog that a request of this kind waits for.
    pub backlog_fraction: f64,
    /// Estimated growth of one replica's load by the other nodes, in requests a second.
    pub others_growth_rate: f64,
}

impl Forecast {
    /// Predicts the performance of a request at a replica.
    pub(crate) fn predict(
        replica: &Replica,
        learned: &LearnedValues,
        request: &RouteRequest,
        now: base::Time,
    ) -> Self {
        let load = &replica.load;
        let slots = f64::from(load.slots.max(1));
        let age = now.since(replica.reported_at).as_secs_f64().min(2.0);
        let others_sent = learned.others_growth_rate * age;
        let occupied = (replica.request_count() + others_sent).max(0.0) + 1.0;
        let prefill_rate = if 0.0 < load.prefill_rate.0 {
            load.prefill_rate.0
        } else {
            DEFAULT_PREFILL_RATE
        };
        let prefilled = age * prefill_rate;
        let remaining = (f64::from(load.prefill.0) - prefilled).max(0.0);
        let backlog = remaining / prefill_rate;
        let unreported = replica.unreported_prompt_tokens(request.length) / prefill_rate;
        let slot_wait = (occupied - slots).max(0.0) * learned.residence_s / slots;
        let token_time = if 0.0 < load.token_rate.0 {
            1.0 / load.token_rate.0
        } else {
            0.0
        };
        let overdue = replica.overdue(now).as_secs_f64();
        let round_trip = 2.0 * replica.link_delay.as_secs_f64();
        let unloaded_time =
            round_trip + token_time + f64::from(request.prompt_tokens.0) / prefill_rate;
        let first_token =
            unloaded_time + slot_wait + learned.backlog_fraction * backlog + unreported + overdue;
        Self {
            first_token: span_from_secs(first_token),
            token_rate: token_rate_at(replica, occupied),
            fill: occupied / slots,
            unloaded_time: span_from_secs(unloaded_time),
            slot_wait: span_from_secs(slot_wait),
            backlog: span_from_secs(backlog + unreported),
        }
    }
}

/// The token rate once the batch has grown to `occupied` requests.
fn token_rate_at(replica: &Replica, occupied: f64) -> TokenRate {
    let load = &replica.load;
    if load.token_rate.0 <= 0.0 {
        return TokenRate(f64::INFINITY);
    }
    let slots = f64::from(load.slots.max(1));
    let running = f64::from(load.running);
    let grown = occupied.min(slots).max(running);
    TokenRate(load.token_rate.0 * (slots + running) / (slots + grown))
}
