//! Passes a stream of events on, and goes on elsewhere if it breaks or stands still.

use std::time::Duration;

use bytes::Bytes;
use compio::time::timeout;
use futures_util::stream::unfold;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::entry::answer::Refusal;
use crate::entry::attempt::Answered;
use crate::entry::attempt::still;
use crate::entry::job::Job;
use crate::entry::outbound::end_to_end;
use crate::entry::turn::Turn;
use crate::events::Event;
use crate::events::emit;
use base::Time;
use forward::EventSplitter;
use forward::Failure;
use forward::RetryDecision;
use forward::Target;
use net::Body;
use net::BodyAborted;
use net::Connection;
use quorum::clock;

/// Time between two looks whether the target stands still.
const LOOK: Duration = Duration::from_millis(80);

/// Time between two tries to go on elsewhere while the target stands still.
const STAY: Duration = Duration::from_millis(500);

/// A stream on its way to its caller.
struct Relay {
    job: Job,
    target: Target,
    source: Option<Source>,
    events: EventSplitter,
    first: Option<Time>,
    /// When the last whole event came.
    last: Time,
    /// While its target stands still it is not tried elsewhere before this time.
    stay_until: Time,
    is_over: bool,
}

/// Where a stream comes from at present.
struct Source {
    body: Incoming,
    connection: Connection,
    turn: Turn,
    keep: Option<Duration>,
}

/// What came of waiting for more of a stream.
enum Came {
    Bytes(Bytes),
    End,
    Broken(&'static str),
    /// Nothing, and its target gives nothing to anybody.
    Still,
    Nothing,
}

/// The answer whose body is the stream.
pub(crate) fn begin(
    job: Job,
    target: Target,
    answered: Answered,
    after: Option<u64>,
) -> Response<Body> {
    let (head, source) = split(answered);
    let relay = Relay {
        job,
        target,
        source: Some(source),
        events: EventSplitter::resume_after(after),
        first: None,
        last: clock::now(),
        stay_until: Time::ZERO,
        is_over: false,
    };
    let frames = unfold(relay, |mut relay| async move {
        let frame = relay.next().await?;
        Some((frame, relay))
    });
    let mut response = Response::new(Body::Driven(Box::pin(frames)));
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(&head.headers);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

fn split(answered: Answered) -> (http::response::Parts, Source) {
    let Answered {
        response,
        connection,
        turn,
        keep,
    } = answered;
    let (head, body) = response.into_parts();
    let source = Source {
        body,
        connection,
        turn,
        keep,
    };
    (head, source)
}

impl Relay {
    /// The next whole events. None once the stream is complete.
    async fn next(&mut self) -> Option<Result<Bytes, BodyAborted>> {
        while !self.is_over {
            match self.wait().await {
                Came::Bytes(bytes) => match self.events.push(&bytes) {
                    Ok(whole) if 0 < whole.count => return Some(Ok(self.pass_on(whole.bytes))),
                    Ok(_) => {}
                    Err(e) => {
                        log::debug!("{}: {e}", self.job.id);
                        if !self.resume("events out of order").await {
                            return Some(Err(self.break_off("events out of order")));
                        }
                    }
                },
                Came::End if !self.events.has_partial_event() => {
                    self.finish();
                    return None;
                }
                Came::End => {
                    if !self.resume("it ended within an event").await {
                        return Some(Err(self.break_off("it ended within an event")));
                    }
                }
                Came::Broken(why) => {
                    if !self.resume(why).await {
                        return Some(Err(self.break_off(why)));
                    }
                }
                Came::Nothing | Came::Still if self.job.until <= clock::now() => {
                    return Some(Err(self.break_off("its time is over")));
                }
                Came::Still if self.stay_until <= clock::now() => self.leave_still().await,
                Came::Still | Came::Nothing => {}
            }
        }
        None
    }

    async fn wait(&mut self) -> Came {
        let Some(source) = &mut self.source else {
            return Came::End;
        };
        match timeout(LOOK, source.body.frame()).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => Came::Bytes(data),
                Err(_) => Came::Nothing,
            },
            Ok(Some(Err(_))) => Came::Broken("the connection broke"),
            Ok(None) => Came::End,
            Err(_) if still(&self.job.entry, &source.turn.id) => Came::Still,
            Err(_) => Came::Nothing,
        }
    }

    fn pass_on(&mut self, bytes: Vec<u8>) -> Bytes {
        let now = clock::now();
        self.first.get_or_insert(now);
        self.last = now;
        if let Some(source) = &mut self.source {
            source.turn.flow();
            let mut board = self.job.entry.board.borrow_mut();
            board.record_success(&source.turn.id, now);
        }
        bytes.into()
    }

    /// Goes on elsewhere if that can be. Silence alone is no reason to end an answer, so
    /// otherwise the stream stays where it is.
    async fn leave_still(&mut self) {
        let kept = self.source.take();
        let can_go = self.job.can_go_elsewhere();
        if can_go && self.resume("the replica stands still").await {
            return;
        }
        self.source = kept;
        self.stay_until = clock::now() + STAY;
    }

    /// Goes on at another target, after the last whole event.
    async fn resume(&mut self, why: &'static str) -> bool {
        let failed = crate::entry::attempt::Failed {
            failure: Failure::Lost,
            why,
        };
        // The attempt that broke has been counted when its head came.
        self.job.attempts -= 1;
        if self.job.failed(&self.target, failed).is_err() {
            return false;
        }
        let from = self.target.id.clone();
        let after = self.events.last_number();
        loop {
            let (target, answered) = match self.job.next(after).await {
                Ok(answered) => answered,
                Err(refusal) => {
                    log::debug!("{}: not resumed: {}", self.job.id, refusal.text());
                    return false;
                }
            };
            if answered.response.status() != StatusCode::OK {
                let again = self.job.after(Failure::Lost, clock::now());
                if again != RetryDecision::Retry {
                    return false;
                }
                continue;
            }
            emit(&Event::Resumed {
                id: &self.job.id,
                from: &from,
                to: &target.id,
                after,
            });
            self.events.drop_partial_event();
            self.target = target;
            self.source = Some(split(answered).1);
            return true;
        }
    }

    fn finish(&mut self) {
        self.is_over = true;
        if let Some(source) = self.source.take() {
            let pool = &self.job.entry.pool;
            pool.put(&source.turn.id, source.connection, source.keep);
        }
        let first = self.first.unwrap_or(self.last);
        self.job.note_answer(&self.target, StatusCode::OK, first);
    }

    fn break_off(&mut self, why: &str) -> BodyAborted {
        self.is_over = true;
        let class = &self.job.class.route;
        self.job.entry.metrics.ended(class, Refusal::Lost.text());
        emit(&Event::BrokenOff {
            id: &self.job.id,
            target: &self.target.id,
            after: self.events.last_number(),
            why: why.to_owned(),
            total_ms: clock::now().since(self.job.arrived).as_millis(),
        });
        BodyAborted
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_over {
            emit(&Event::CallerLeft {
                id: &self.job.id,
                total_ms: clock::now().since(self.job.arrived).as_millis(),
            });
        }
    }
}
