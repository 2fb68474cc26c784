//! The limits that upstreams name in their answers, and which targets they close for a while.

use std::collections::BTreeSet;

use http::Response;

use crate::entry::EntryHost;
use crate::events::Event;
use crate::events::emit;
use base::RequestRate;
use base::Time;
use base::UpstreamId;
use forward::Target;
use forward::TargetQuery;
use quorum::clock;

/// The largest limit that is read, in requests a second. More than any process takes.
const MAX_RATE: f64 = 1e6;

/// The targets of a request that may get none now, because this entry host has no turn of their
/// limits. That it wants one is told to the leader.
pub(crate) fn closed_targets(entry: &EntryHost, query: &TargetQuery<'_>) -> BTreeSet<UpstreamId> {
    let now = clock::now();
    let mut guard = entry.limit_guard.borrow_mut();
    let targets = entry.targets.borrow();
    let limited = guard.limited().filter(|id| {
        let target = targets.get(id);
        target.is_some_and(|target| query.fits(target))
    });
    let limited: Vec<UpstreamId> = limited.cloned().collect();
    let mut is_report_due = false;
    for id in &limited {
        is_report_due |= guard.record_wanted(id, now);
    }
    if is_report_due {
        entry.observations_added.notify_waiters();
    }
    let closed = limited.into_iter().filter(|id| !guard.may_send(id, now));
    closed.collect()
}

/// Records the limit that an answer names, if any.
pub(crate) fn record_limit<Body>(
    entry: &EntryHost,
    target: &Target,
    response: &Response<Body>,
    sent_at: Time,
) {
    let named = response
        .headers()
        .get(&entry.platform.headers().limit)
        .and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok())
        .filter(|rate| rate.is_finite() && 0.0 <= *rate)
        .map(|rate| RequestRate(rate.min(MAX_RATE)));
    if named.is_none() && !response.status().is_success() {
        return;
    }
    let mut guard = entry.limit_guard.borrow_mut();
    let was_limited = guard.limited().any(|id| *id == target.id);
    let (id, incarnation) = (&target.id, target.incarnation);
    let is_report_due = guard.record_answer(id, incarnation, named, sent_at, clock::now());
    if let Some(limit) = named.filter(|_| !was_limited) {
        let limit = limit.to_string();
        emit(&Event::LimitNamed { target: id, limit });
    }
    if is_report_due {
        entry.observations_added.notify_waiters();
    }
}
