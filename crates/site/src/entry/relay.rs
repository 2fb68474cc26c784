//! Relays a stream of events, and resumes it at another target if it breaks or stalls.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::time::timeout;
use futures_util::stream::unfold;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;

use crate::entry::EntryHost;
use crate::entry::answer::Refusal;
use crate::entry::attempt::AttemptError;
use crate::entry::attempt::AttemptResponse;
use crate::entry::attempt::check_stalled;
use crate::entry::attempt::record_direct_failure;
use crate::entry::outbound::end_to_end;
use crate::entry::paths;
use crate::entry::request_forwarder::RequestForwarder;
use crate::entry::stream_source::StreamInput;
use crate::entry::stream_source::StreamSource;
use crate::events::Event;
use crate::events::emit;
use base::Time;
use forward::EventSplitter;
use forward::Failure;
use forward::ResumePoint;
use forward::Target;
use net::Body;
use net::BodyAborted;
use net::unless;
use quorum::clock;

/// Time without an event after which is looked whether the target has stalled, and between two looks.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(80);

/// Time between two attempts to resume a stalled stream at another target.
const STALL_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The kind of content of an answer, without parameters and in small letters.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ContentType(String);

impl ContentType {
    fn of(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
        let kind = value.split(';').next()?;
        Some(Self(kind.trim().to_ascii_lowercase()))
    }
}

/// A stream that is relayed to its caller.
struct StreamRelay {
    forwarder: RequestForwarder,
    target: Target,
    source: Option<StreamSource>,
    events: EventSplitter,
    /// The kind of content that the first target answered with.
    content_type: Option<ContentType>,
    first_event_at: Option<Time>,
    /// When the last complete event arrived.
    last_event_at: Time,
    /// The longest time between two events so far.
    longest_gap: Duration,
    /// When to look next whether the target has stalled.
    check_stalled_at: Time,
    /// While the target is stalled, another one is tried only after this time.
    retry_stalled_at: Time,
    is_over: bool,
}

/// Builds the response whose body is the relayed stream.
pub(crate) fn stream_response(
    forwarder: RequestForwarder,
    target: Target,
    answer: AttemptResponse,
    after: Option<u64>,
) -> Response<Body> {
    let (head, source) = StreamSource::open(answer);
    let mut events = EventSplitter::resume_after(after);
    events.begin_answer(source.framing);
    let relay = StreamRelay {
        forwarder,
        target,
        source: Some(source),
        events,
        content_type: ContentType::of(&head.headers),
        first_event_at: None,
        last_event_at: clock::now(),
        longest_gap: Duration::ZERO,
        check_stalled_at: clock::now() + STALL_CHECK_INTERVAL,
        retry_stalled_at: Time::ZERO,
        is_over: false,
    };
    let end = Box::pin(must_end(
        Rc::clone(&relay.forwarder.entry),
        relay.forwarder.deadline,
    ));
    let frames = unfold((relay, end), |(mut relay, mut end)| async move {
        if relay.is_over {
            return None;
        }
        let frame = match unless(end.as_mut(), relay.next()).await {
            Ok(frame) => frame?,
            Err(why) => Err(relay.break_off(why)),
        };
        Some((frame, (relay, end)))
    });
    let mut response = Response::new(Body::Driven(Box::pin(frames)));
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(&head.headers);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

/// Waits until an answer must have ended, whatever it is doing then, and says why. An end between
/// two events is visible; the caller can resume the stream elsewhere.
async fn must_end(entry: Rc<EntryHost>, deadline: Time) -> &'static str {
    loop {
        let left = entry.answer_by(deadline).since(clock::now());
        if left.is_zero() {
            return "its time is over";
        }
        if timeout(left, entry.last_call.given()).await.is_ok() {
            return "this process stops";
        }
    }
}

impl StreamRelay {
    /// The next complete events. None once the stream is complete.
    async fn next(&mut self) -> Option<Result<Bytes, BodyAborted>> {
        loop {
            if self.is_stalled() {
                self.leave_stalled_target().await;
            }
            let (failure, why) = match self.next_input().await {
                StreamInput::Bytes(bytes) => match self.push(&bytes) {
                    Some(events) => return Some(Ok(events)),
                    None => continue,
                },
                StreamInput::End => match self.why_end_is_early() {
                    Some(why) => (self.failure_of_break(), why),
                    None => {
                        self.finish();
                        return None;
                    }
                },
                StreamInput::Broken(why) => (self.failure_of_break(), why),
                StreamInput::Unreadable => (Failure::Lost, "bytes that are no answer"),
                StreamInput::Rejected => (Failure::Lost, "events out of order"),
                StreamInput::Nothing => continue,
            };
            if !self.resume(failure, why).await {
                return Some(Err(self.break_off(why)));
            }
        }
    }

    /// Adds bytes of the stream. Returns the events to pass on, if any are complete. If bytes
    /// after them are rejected, the stream leaves its source at the next input.
    fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let complete = self.events.push(bytes);
        self.forwarder.is_resumable = self.events.resume_point() != ResumePoint::Unknown;
        if let Some(error) = complete.rejected {
            emit(&Event::EventsRejected {
                id: &self.forwarder.id,
                target: &self.target.id,
                error: error.to_string(),
                complete: complete.count,
                after: self.events.last_number(),
            });
            if let Some(source) = &mut self.source {
                source.is_rejected = true;
            }
        }
        if complete.has_output {
            self.record_output();
        }
        if complete.has_output || self.events.has_partial_event() {
            self.check_stalled_at = clock::now() + STALL_CHECK_INTERVAL;
        }
        (0 < complete.count).then(|| complete.bytes.into())
    }

    /// Whether the target produces no output for any request, and another one may be tried now.
    /// Comments and empty lines don't put this off.
    fn is_stalled(&mut self) -> bool {
        let now = clock::now();
        if now < self.check_stalled_at {
            return false;
        }
        self.check_stalled_at = now + STALL_CHECK_INTERVAL;
        let Some(source) = &self.source else {
            return false;
        };
        check_stalled(&self.forwarder.entry, &source.guard.id) && self.retry_stalled_at <= now
    }

    async fn next_input(&mut self) -> StreamInput {
        match &mut self.source {
            Some(source) => source.next_input(self.check_stalled_at).await,
            None => StreamInput::End,
        }
    }

    /// Records that the target sent an event. Comments and empty lines are passed on too, but say
    /// neither that it gets on with the answer nor that it fails.
    fn record_output(&mut self) {
        let now = clock::now();
        if self.first_event_at.is_some() {
            self.longest_gap = self.longest_gap.max(now.since(self.last_event_at));
        }
        self.first_event_at.get_or_insert(now);
        if let Some(source) = &mut self.source {
            source.guard.record_first_event();
            if source.connection.peer().is_none() {
                paths::record_sign(&self.forwarder.entry, &self.target);
            }
            let was_settled = source.is_settled(self.last_event_at);
            source.first_event_at.get_or_insert(now);
            if !was_settled && source.is_settled(now) {
                self.forwarder.record_sound();
            }
            let mut targets = self.forwarder.entry.targets.borrow_mut();
            targets.record_success(&source.guard.id, now);
        }
        self.last_event_at = now;
    }

    /// Why the end of the answer isn't the end of the stream, if so.
    fn why_end_is_early(&self) -> Option<&'static str> {
        if self.events.has_partial_event() {
            return Some("it ended within an event");
        }
        if self.events.is_event_due() {
            return Some("it ended before an event that had begun elsewhere");
        }
        let source = self.source.as_ref()?;
        source
            .may_have_lost_all()
            .then_some("it ended before its first event")
    }

    /// What a broken connection says about the request.
    fn failure_of_break(&self) -> Failure {
        let now = clock::now();
        match self.source.as_ref().is_some_and(|s| s.is_settled(now)) {
            true => Failure::Lost,
            false => Failure::Broken,
        }
    }

    /// Resumes the stream at another target if possible. Silence alone is no reason to end an
    /// answer, so otherwise the stream stays at its target.
    async fn leave_stalled_target(&mut self) {
        let kept = self.source.take();
        let can_leave = self
            .forwarder
            .can_leave(&self.target, self.forwarder.attempts);
        if can_leave && self.resume(Failure::Lost, "the replica stands still").await {
            return;
        }
        self.source = kept;
        self.retry_stalled_at = clock::now() + STALL_RETRY_INTERVAL;
    }

    /// Resumes the stream at another target, after the last complete event.
    async fn resume(&mut self, failure: Failure, why: &'static str) -> bool {
        let path = self.forwarder.path;
        if let Some(path) = path {
            record_direct_failure(&self.forwarder.entry, &self.target, path);
        }
        let error = AttemptError { failure, why, path };
        // The failed attempt was already counted when the head of its response came.
        self.forwarder.attempts -= 1;
        if self.forwarder.record_failure(&self.target, error).is_err() {
            return false;
        }
        let from = self.target.id.clone();
        let after = self.events.last_number();
        loop {
            let (target, answer) = match self.forwarder.next_response(after).await {
                Ok(answer) => answer,
                Err(refusal) => {
                    log::debug!("{}: not resumed: {}", self.forwarder.id, refusal.text());
                    return false;
                }
            };
            if let Some(why) = self.why_not_continued_by(&answer) {
                let path = self.forwarder.path;
                let failure = Failure::Lost;
                let error = AttemptError { failure, why, path };
                // This attempt was already counted when the head of its response came.
                self.forwarder.attempts -= 1;
                if self.forwarder.record_failure(&target, error).is_err() {
                    return false;
                }
                continue;
            }
            emit(&Event::Resumed {
                id: &self.forwarder.id,
                from: &from,
                to: &target.id,
                after,
            });
            let (_, source) = StreamSource::open(answer);
            self.events.begin_answer(source.framing);
            self.target = target;
            self.source = Some(source);
            return true;
        }
    }

    /// Why an answer can't go on with the stream, if so.
    fn why_not_continued_by(&self, answer: &AttemptResponse) -> Option<&'static str> {
        if answer.response.status() != StatusCode::OK {
            return Some("it does not go on with the stream");
        }
        let content_type = ContentType::of(answer.response.headers());
        (content_type != self.content_type).then_some("it goes on with another kind of content")
    }

    fn finish(&mut self) {
        self.is_over = true;
        if let Some(source) = self.source.take() {
            let pool = &self.forwarder.entry.pool;
            pool.put_back(&source.guard.id, source.connection, source.keep_alive);
            if source.first_event_at.is_some() {
                self.forwarder.record_sound();
            }
        }
        let first = self.first_event_at.unwrap_or(self.last_event_at);
        self.forwarder
            .record_answer(&self.target, StatusCode::OK, first, self.longest_gap);
    }

    fn break_off(&mut self, why: &str) -> BodyAborted {
        self.is_over = true;
        // The target stops its work at once, however long the caller takes to read the rest.
        self.source = None;
        let route = &self.forwarder.labels.route;
        self.forwarder
            .entry
            .metrics
            .count_outcome(route, Refusal::Lost.text());
        emit(&Event::StreamBroken {
            id: &self.forwarder.id,
            target: &self.target.id,
            after: self.events.last_number(),
            why: why.to_owned(),
            total_ms: clock::now().since(self.forwarder.arrived).as_millis(),
        });
        BodyAborted
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.is_over {
            emit(&Event::CallerDisconnected {
                id: &self.forwarder.id,
                total_ms: clock::now().since(self.forwarder.arrived).as_millis(),
            });
        }
    }
}
