//! What a request can expect at a replica.

use std::time::Duration;

use crate::RouteRequest;
use crate::replica::Replica;
use base::TokenRate;

/// Prefill rate taken for a replica that has not reported one, in tokens a second.
const DEFAULT_PREFILL_RATE: f64 = 4_000.0;

/// What a request can expect at a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// Time to the first token as this node sees it.
    pub first_token: Duration,
    /// Tokens a second once it runs.
    pub token_rate: TokenRate,
    /// Share of the slots taken, this request included. May exceed one.
    pub fill: f64,
    /// The part of `first_token` that the request takes alone.
    pub unloaded_time: Duration,
    /// The wait for a slot.
    pub slot_wait: Duration,
    /// The backlog of prompt tokens at the replica, as time.
    pub backlog: Duration,
}

/// What the router has learned over all replicas of a model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LearnedValues {
    /// Seconds that a request holds a slot.
    pub residence_s: f64,
    /// Part of the reported prefill backlog that a short request waits for.
    pub backlog_fraction: f64,
    /// Growth of a replica's occupancy by the other nodes, requests a second.
    pub others_growth_rate: f64,
}

impl Forecast {
    /// Predicts a request at a replica.
    pub(crate) fn predict(
        replica: &Replica,
        learned: &LearnedValues,
        ask: &RouteRequest,
        now: base::Time,
    ) -> Self {
        let load = &replica.load;
        let slots = f64::from(load.slots.max(1));
        let age = now.since(replica.reported_at).as_secs_f64().min(2.0);
        let others = learned.others_growth_rate * age;
        let occupied = (replica.request_count() + others).max(0.0) + 1.0;
        let prefill_rate = if 0.0 < load.prefill_rate.0 {
            load.prefill_rate.0
        } else {
            DEFAULT_PREFILL_RATE
        };
        let done = age * prefill_rate;
        let reported = (f64::from(load.prefill.0) - done).max(0.0);
        let backlog = reported / prefill_rate;
        let unseen = replica.unreported_prompt_tokens(ask.length) / prefill_rate;
        let slot_wait = (occupied - slots).max(0.0) * learned.residence_s / slots;
        let step = if 0.0 < load.token_rate.0 {
            1.0 / load.token_rate.0
        } else {
            0.0
        };
        let overdue = replica.overdue(now).as_secs_f64();
        let link = 2.0 * replica.link.as_secs_f64();
        let alone = link + step + f64::from(ask.prompt_tokens.0) / prefill_rate;
        let first_token = alone + slot_wait + learned.backlog_fraction * backlog + unseen + overdue;
        Self {
            first_token: Duration::from_secs_f64(first_token),
            token_rate: token_rate_at(replica, occupied),
            fill: occupied / slots,
            unloaded_time: Duration::from_secs_f64(alone),
            slot_wait: Duration::from_secs_f64(slot_wait),
            backlog: Duration::from_secs_f64(backlog + unseen),
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
