//! Forwards one request to one target after the other until one answers.

use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::Either;
use futures_util::future::select;
use http::Response;
use http::StatusCode;
use http::header;

use crate::entry::EntryHost;
use crate::entry::answer::Refusal;
use crate::entry::attempt::AttemptError;
use crate::entry::attempt::AttemptResponse;
use crate::entry::attempt::attempt;
use crate::entry::attempt_guard::InFlightGuard;
use crate::entry::metrics::RequestLabels;
use crate::entry::outbound::OutboundRequest;
use crate::entry::outbound::end_to_end;
use crate::entry::paths::path_of;
use crate::entry::relay;
use crate::entry::stream_source::framing_of;
use crate::entry::whole_answer;
use crate::entry::whole_answer::AnswerError;
use crate::events::Event;
use crate::events::emit;
use crate::events::join_parts;
use base::ModelName;
use base::ServiceName;
use base::Time;
use base::UpstreamId;
use base::span_from_secs;
use fleet::RequestKind;
use fleet::Route;
use forward::ConnectPath;
use forward::Failure;
use forward::RetryDecision;
use forward::Target;
use forward::UnsentAttempts;
use net::Body;
use net::BodyError;
use net::ConnectionAccount;
use net::ReceivedBody;
use quorum::clock;

/// Forwards one request whose route and service are known.
pub(crate) struct RequestForwarder {
    pub entry: Rc<EntryHost>,
    /// The caller's connection in the memory account.
    pub caller: ConnectionAccount,
    pub route: Route,
    pub service: ServiceName,
    pub request: OutboundRequest,
    pub model: Option<ModelName>,
    /// The request's id for the log.
    pub id: String,
    pub labels: RequestLabels,
    pub arrived: Time,
    /// The time by which its caller and its route want the final answer.
    pub deadline: Time,
    /// When the last attempt began.
    pub sent_at: Time,
    /// Attempts that reached a target.
    pub attempts: u32,
    /// Attempts that were never sent.
    pub unsent_attempts: UnsentAttempts,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Whether another attempt can continue what the caller has of the answer.
    pub is_resumable: bool,
    /// The way of the last attempt that had a connection.
    pub path: Option<ConnectPath>,
    /// Targets at which the request failed.
    pub avoid: BTreeSet<UpstreamId>,
    /// Counts the request at this entry host until it is dropped.
    pub _in_flight: InFlightGuard,
}

impl RequestForwarder {
    /// Forwards the request and returns the response for the caller.
    pub async fn run(mut self) -> Response<Body> {
        let after = self.last_event();
        loop {
            let (target, answer) = match self.next_response(after).await {
                Ok(answer) => answer,
                Err(refusal) => return self.refuse(refusal),
            };
            if self.route.kind.is_stream() && answer.response.status() == StatusCode::OK {
                return relay::stream_response(self, target, answer, after);
            }
            match self.relay_whole(&target, answer).await {
                Ok(response) => return response,
                Err(Some(refusal)) => return self.refuse(refusal),
                Err(None) => {}
            }
        }
    }

    /// The time by which the final answer must be given.
    pub fn time_limit(&self) -> Time {
        self.entry.answer_by(self.deadline)
    }

    /// Sends the request to one target after the other until one answers.
    pub async fn next_response(
        &mut self,
        after: Option<u64>,
    ) -> Result<(Target, AttemptResponse), Refusal> {
        loop {
            let target = self.choose_target().await?;
            self.check_ban()?;
            self.sent_at = clock::now();
            match attempt(self, &target, after).await {
                Ok(answer) => {
                    self.attempts += 1;
                    self.path = Some(path_of(&answer.connection));
                    return Ok((target, answer));
                }
                Err(error) => self.record_failure(&target, error)?,
            }
        }
    }

    /// Refuses the request if it was banned while it waited.
    fn check_ban(&self) -> Result<(), Refusal> {
        match (self.request.is_banned(&self.entry), self.may_have_run) {
            (false, _) => Ok(()),
            (true, false) => Err(Refusal::Banned),
            (true, true) => Err(Refusal::Lost),
        }
    }

    /// Records a failed attempt. Returns the refusal for the caller if no retry follows.
    pub fn record_failure(&mut self, target: &Target, error: AttemptError) -> Result<(), Refusal> {
        let now = clock::now();
        let id = (target.id.clone(), target.incarnation);
        self.path = error.path;
        match error.failure {
            Failure::NotSent | Failure::HeldBack | Failure::TooLate => {
                self.unsent_attempts.record();
            }
            Failure::Refused | Failure::Broken | Failure::TimedOut | Failure::Lost => {
                self.attempts += 1;
            }
        }
        let is_own_path = error.path == Some(ConnectPath::Direct) && !self.trusts_health();
        if error.failure == Failure::Broken && !is_own_path {
            self.record_crash(target, now);
        }
        let speaks_against_target = match error.failure {
            Failure::NotSent => self.trusts_health(),
            Failure::HeldBack | Failure::TooLate => false,
            Failure::Refused => target.model.is_none(),
            // A shorter wait says nothing of it, nor one in which it reads prompts.
            Failure::TimedOut => {
                let expected = self.expected_silence(target);
                self.route.latency_target.max(expected) <= now.since(self.sent_at)
            }
            Failure::Broken | Failure::Lost => true,
        };
        if speaks_against_target {
            let mut targets = self.entry.targets.borrow_mut();
            match error.is_unreachable() {
                true => targets.record_unreachable(&id, now),
                false => targets.record_failure(&id, now),
            }
        }
        self.avoid.insert(target.id.clone());
        if error.is_unreachable() {
            let targets = self.entry.targets.borrow();
            let same = targets.targets_at(target.addr);
            self.avoid.extend(same.map(|target| target.id.clone()));
        }
        let next = self.decide_retry(error.failure, now);
        self.may_have_run |= error.failure.may_have_run();
        emit(&Event::AttemptFailed {
            id: &self.id,
            target: &target.id,
            failure: error.failure.to_string(),
            why: error.why.to_owned(),
            next: next.to_string(),
            left_ms: self.time_limit().since(now).as_millis(),
            path: error.path.map_or("-".to_owned(), |path| path.to_string()),
            parts: join_parts(&*self.request.parts),
        });
        let is_expired = self.time_limit() <= now;
        match next {
            RetryDecision::Retry => Ok(()),
            RetryDecision::ReportNotRun if is_expired => Err(Refusal::OutOfTime),
            RetryDecision::ReportNotRun => Err(Refusal::NotRun),
            RetryDecision::ReportUnknown if is_expired => Err(Refusal::Timeout),
            RetryDecision::ReportUnknown => Err(Refusal::Lost),
        }
    }

    /// How long the target of an attempt that has ended may have read prompts, that of the request
    /// among them.
    fn expected_silence(&self, target: &Target) -> Duration {
        let targets = self.entry.targets.borrow();
        let others = targets
            .get(&target.id)
            .map_or(0.0, |known| known.own_prompt_secs + known.other_prompt_secs);
        span_from_secs(others + self.request.prompt_secs)
    }

    /// Whether the request may be sent again, by what is known of it and of its answer.
    pub(super) fn may_repeat(&self, now: Time) -> bool {
        let guard = self.entry.part_guard.borrow();
        self.is_resumable && guard.may_repeat(&self.request.parts, now)
    }

    /// Decides what follows an attempt that failed just now. Takes a retry from the budget.
    pub fn decide_retry(&self, failure: Failure, now: Time) -> RetryDecision {
        let has_time = now < self.time_limit();
        let has_attempts = match failure {
            Failure::NotSent | Failure::HeldBack | Failure::TooLate => {
                self.unsent_attempts.may_try_again(self.has_healthy(now))
            }
            Failure::Refused | Failure::Broken | Failure::TimedOut | Failure::Lost => {
                self.attempts < self.route.attempts
            }
        };
        let may_have_run = self.may_have_run || failure.may_have_run();
        let may_repeat = !may_have_run || (self.route.kind.is_retryable() && self.may_repeat(now));
        let allowed = has_time && has_attempts && may_repeat && {
            let nothing_sent = failure.is_unsent() && self.attempts == 0;
            nothing_sent
                || self
                    .entry
                    .retry_budget
                    .borrow_mut()
                    .take_retry(&self.service, now)
        };
        RetryDecision::after_failure(self.route.kind, failure, self.may_have_run, allowed)
    }

    /// Reads an answer completely and passes it on. `Err(None)` means that the request is
    /// retried.
    async fn relay_whole(
        &mut self,
        target: &Target,
        answer: AttemptResponse,
    ) -> Result<Response<Body>, Option<Refusal>> {
        let AttemptResponse {
            response,
            connection,
            guard,
            keep_alive,
        } = answer;
        let first = clock::now();
        let path = Some(path_of(&connection));
        let (head, body) = response.into_parts();
        let read = self.read_answer(body).await;
        let read = read.and_then(|body| {
            match framing_of(&head.headers).may_lack_body(head.status.as_u16(), body.len()) {
                true => Err(AnswerError::MaybeCut),
                false => Ok(body),
            }
        });
        let id = guard.id.clone();
        drop(guard);
        let body: Bytes = match read {
            Ok(body) => body,
            Err(e) => {
                let (failure, why) = (e.failure(), e.text());
                // `record_failure` counts this attempt again.
                self.attempts -= 1;
                return self
                    .record_failure(target, AttemptError { failure, why, path })
                    .map_or_else(|refusal| Err(Some(refusal)), |()| Err(None));
            }
        };
        self.entry.pool.put_back(&id, connection, keep_alive);
        // A process that answers with a failure has not ended either.
        self.record_sound();
        let is_failure = head.status.is_server_error();
        if is_failure && self.route.kind == RequestKind::Idempotent {
            self.may_have_run = true;
            let why = "the upstream failed";
            let failure = Failure::Lost;
            self.attempts -= 1;
            if self
                .record_failure(target, AttemptError { failure, why, path })
                .is_ok()
            {
                return Err(None);
            }
        } else if !is_failure {
            self.entry
                .targets
                .borrow_mut()
                .record_success(&id, clock::now());
        }
        self.record_answer(target, head.status, first, Duration::ZERO);
        let mut answer = Response::new(Body::whole(body));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = end_to_end(&head.headers);
        answer.headers_mut().remove(header::CONTENT_LENGTH);
        Ok(answer)
    }

    /// Reads an answer completely, as long as there is time.
    async fn read_answer(&self, body: ReceivedBody) -> Result<Bytes, AnswerError> {
        let left = self.time_limit().since(clock::now());
        let read = pin!(whole_answer::read(body, left, &self.caller));
        let last_call = pin!(self.entry.last_call.given());
        match select(read, last_call).await {
            Either::Left((read, _)) => read,
            Either::Right(_) => {
                let time_limit = left;
                Err(AnswerError::Body(BodyError::TooSlow { time_limit }))
            }
        }
    }

    fn refuse(&self, refusal: Refusal) -> Response<Body> {
        self.entry
            .metrics
            .count_outcome(&self.labels.route, refusal.text());
        emit(&Event::Refused {
            id: &self.id,
            route: self.route.name.as_str(),
            status: refusal.status().as_u16(),
            why: refusal.text(),
            waited_ms: clock::now().since(self.arrived).as_millis(),
            attempts: self.attempts,
            version: self.entry.version.get(),
            age_ms: self.entry.confirmed_ago().as_millis(),
            parts: join_parts(&*self.request.parts),
        });
        let left = self.time_limit().since(clock::now());
        refusal.response(&self.entry, Some(left))
    }

    /// The number of the last event that the caller has, if it says so.
    fn last_event(&self) -> Option<u64> {
        let value = self
            .request
            .headers
            .get(&self.entry.platform.headers().last_event)?;
        value.to_str().ok()?.trim().parse().ok()
    }
}
