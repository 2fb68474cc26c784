//! What a request leaves behind in the metrics, the log and the other requests' memory.

use std::time::Duration;

use http::StatusCode;

use crate::entry::request_forwarder::RequestForwarder;
use crate::events::Event;
use crate::events::emit;
use crate::events::join_parts;
use base::Time;
use forward::ConnectPath;
use forward::Target;
use quorum::clock;

impl RequestForwarder {
    /// Records that the request broke at a target, which may have ended because of it.
    pub(super) fn record_crash(&self, target: &Target, now: Time) {
        let process = (&target.id, target.incarnation);
        let mut guard = self.entry.part_guard.borrow_mut();
        guard.record_crash(process, &self.request.parts, self.sent_at, now);
        self.entry.observations_added.notify_waiters();
    }

    /// Records that the request's answer went on or was complete.
    pub fn record_sound(&self) {
        let mut guard = self.entry.part_guard.borrow_mut();
        if guard.record_sound(&self.request.parts, clock::now()) {
            self.entry.observations_added.notify_waiters();
        }
    }

    /// Records an answer that is passed on in the metrics and the log. `longest_gap` is the
    /// longest time between two of its events.
    pub fn record_answer(
        &self,
        target: &Target,
        status: StatusCode,
        first: Time,
        longest_gap: Duration,
    ) {
        let first = first.since(self.arrived);
        let punctuality = self.route.punctuality(first, longest_gap);
        let total = clock::now().since(self.arrived);
        let mut answer_times = self.entry.answer_times.borrow_mut();
        answer_times.record(&self.route.name, total);
        drop(answer_times);
        if let Some(model) = &self.model {
            let mut arrivals = self.entry.arrivals.borrow_mut();
            arrivals
                .entry(model.clone())
                .or_default()
                .record_answer_time(total);
        }
        self.entry.metrics.observe_times(&self.labels, first, total);
        self.entry
            .metrics
            .count_outcome(&self.labels.route, "answered");
        emit(&Event::Answered {
            id: &self.id,
            route: &self.route.name,
            target: &target.id,
            status: status.as_u16(),
            attempts: self.attempts,
            first_ms: first.as_millis(),
            total_ms: total.as_millis(),
            late: punctuality.text(),
            path: self.path.unwrap_or(ConnectPath::Direct),
            parts: join_parts(&*self.request.parts),
        });
    }
}
