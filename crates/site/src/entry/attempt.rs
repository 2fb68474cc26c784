//! One attempt to send a request to one target.

use std::time::Duration;

use compio::time::timeout;
use http::HeaderMap;
use http::Response;
use http::header;

use crate::entry::EntryHost;
use crate::entry::attempt_guard::AttemptGuard;
use crate::entry::outbound::OutboundRequest;
use crate::entry::paths;
use crate::entry::paths::path_of;
use crate::entry::request_forwarder::RequestForwarder;
use crate::entry::statements;
use crate::events::Event;
use crate::events::emit;
use base::Time;
use forward::AnswerHead;
use forward::AnswerMeaning;
use forward::AnsweredRequest;
use forward::ConnectPath;
use forward::Failure;
use forward::IdUse;
use forward::RefusalProtocol;
use forward::Target;
use net::Connection;
use net::ReceivedBody;
use net::RequestError;
use quorum::clock;

/// Time between two checks whether a target has stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptError {
    /// How the attempt failed.
    pub failure: Failure,
    /// The reason for the log.
    pub why: &'static str,
    /// The way of the connection, if there was one.
    pub path: Option<ConnectPath>,
}

impl AttemptError {
    fn new(failure: Failure, why: &'static str, path: Option<ConnectPath>) -> Self {
        Self { failure, why, path }
    }

    /// Whether nothing took a connection at the target's address.
    pub fn is_unreachable(&self) -> bool {
        self.failure == Failure::NotSent && self.path.is_none()
    }
}

/// A response whose head has arrived.
pub(crate) struct AttemptResponse {
    pub response: Response<ReceivedBody>,
    pub connection: Connection,
    pub guard: AttemptGuard,
    /// How long the upstream allows the connection to be idle afterwards. None if it names no
    /// time.
    pub keep_alive: Option<Duration>,
}

/// Sends a request to a target and waits for the head of the response until the request's time is
/// over. `after` is the number of the last event that the caller has.
pub(crate) async fn attempt(
    forwarder: &RequestForwarder,
    target: &Target,
    after: Option<u64>,
) -> Result<AttemptResponse, AttemptError> {
    let (entry, request) = (&forwarder.entry, &forwarder.request);
    let deadline = forwarder.time_limit();
    let id = (target.id.clone(), target.incarnation);
    let sent_at = clock::now();
    entry
        .limit_guard
        .borrow_mut()
        .record_sent(&target.id, sent_at);
    let guard = AttemptGuard::new(entry, id.clone(), request.prompt_secs);
    let id_use = request.id_use(entry, &id);
    // On a connection used before, the earlier answer to a request with the same id may come.
    let kept = match id_use {
        IdUse::First => entry.pool.take_idle(&id),
        IdUse::Again => None,
    };
    let sent = match kept {
        Some(kept) => send(forwarder, target, kept, after, deadline).await,
        None => Err(AttemptError::new(
            Failure::NotSent,
            "no kept connection",
            None,
        )),
    };
    let sent = match sent {
        Err(error) if error.failure.is_unsent() => {
            let left = deadline.since(clock::now());
            let fresh = paths::connect(entry, target, left).await;
            let fresh = fresh.ok_or_else(|| match deadline <= clock::now() {
                true => AttemptError::new(Failure::TooLate, "no time is left", None),
                false => AttemptError::new(Failure::NotSent, "cannot connect", None),
            })?;
            send(forwarder, target, fresh, after, deadline).await
        }
        other => other,
    };
    let (response, connection) = sent?;
    let path = path_of(&connection);
    statements::record_statements(entry, target, &response, path, sent_at);
    let keep_alive = keep_alive_time(response.headers());
    if path == ConnectPath::Direct {
        paths::record_sign(entry, target);
    }
    entry.metrics.count_attempt(path);
    check_response(entry, request, id_use, &response, path)?;
    entry.targets.borrow_mut().record_output(&id, clock::now());
    Ok(AttemptResponse {
        response,
        connection,
        guard,
        keep_alive,
    })
}

async fn send(
    forwarder: &RequestForwarder,
    target: &Target,
    connection: Connection,
    after: Option<u64>,
    deadline: Time,
) -> Result<(Response<ReceivedBody>, Connection), AttemptError> {
    let (entry, request) = (&forwarder.entry, &forwarder.request);
    // Checked after the last await before sending: the target may have left, or this process may
    // have been suspended.
    let now = clock::now();
    let path = path_of(&connection);
    let failed = |failure, why| Err(AttemptError::new(failure, why, Some(path)));
    if deadline <= now {
        return failed(Failure::TooLate, "no time is left");
    }
    let is_known = {
        let targets = entry.targets.borrow();
        targets
            .get(&target.id)
            .is_some_and(|t| t.incarnation == target.incarnation)
    };
    if !is_known {
        return failed(Failure::NotSent, "the target is gone");
    }
    if !statements::may_send(entry, target, path) {
        return failed(Failure::HeldBack, "the target asked for rest");
    }
    let outbound = request.for_target(
        entry.platform.headers(),
        &target.id,
        deadline.since(now),
        after,
    );
    let id = (target.id.clone(), target.incarnation);
    request.record_sent(entry, &id);
    let mut answer = statements::send(entry, target, connection, outbound);
    let mut was_silent = false;
    let result = loop {
        match timeout(STALL_CHECK_INTERVAL, answer.head()).await {
            Ok(result) => break result,
            Err(_) if entry.answer_by(deadline) <= clock::now() => {
                return failed(Failure::TimedOut, "no answer in time");
            }
            Err(_) if request.is_banned(entry) => {
                return failed(Failure::Lost, "it is banned");
            }
            Err(_) if target.model.is_some() && check_stalled(entry, &id) => {
                if !std::mem::replace(&mut was_silent, true) {
                    record_direct_failure(entry, target, path);
                }
                // Silence alone is no reason to end an answer.
                if forwarder.can_leave(target, forwarder.attempts + 1) {
                    return failed(Failure::Lost, "the replica stands still");
                }
            }
            Err(_) => {}
        }
    };
    match result {
        Ok(answer) => Ok(answer),
        Err(RequestError::NotSent) => failed(Failure::NotSent, "it had ended"),
        Err(RequestError::Lost) => {
            record_direct_failure(entry, target, path);
            failed(Failure::Broken, "the connection broke")
        }
        Err(RequestError::Unreadable) => failed(Failure::Lost, "bytes that are no answer"),
    }
}

/// Records that a connection broke or stood still, if it was a direct one.
pub(crate) fn record_direct_failure(entry: &EntryHost, target: &Target, path: ConnectPath) {
    if path == ConnectPath::Direct {
        paths::record_failure(entry, target);
    }
}

/// Whether a target has stalled. If this is new, a control host is told.
pub(crate) fn check_stalled(entry: &EntryHost, id: &forward::TargetId) -> bool {
    let now = clock::now();
    let was_excluded = {
        let targets = entry.targets.borrow();
        targets
            .get(&id.0)
            .is_some_and(|t| t.health.is_excluded(now))
    };
    let is_stalled = entry.targets.borrow_mut().exclude_if_stalled(id, now);
    if is_stalled && !was_excluded {
        let own = entry
            .targets
            .borrow()
            .get(&id.0)
            .map_or(0, |t| t.own_requests);
        emit(&Event::TargetStalled { target: &id.0, own });
        entry.stalled_heads.borrow_mut().push(id.0.clone());
        entry.observations_added.notify_waiters();
    }
    is_stalled
}

/// Checks what a response may be taken for.
fn check_response(
    entry: &EntryHost,
    request: &OutboundRequest,
    id_use: IdUse,
    response: &Response<ReceivedBody>,
    path: ConnectPath,
) -> Result<(), AttemptError> {
    let names = entry.platform.headers();
    let headers = response.headers();
    let head = AnswerHead {
        protocol: RefusalProtocol::Statuses,
        status: response.status().as_u16(),
        request: AnsweredRequest::of(request.id(names), headers.get(&names.attempt_id)),
        id_use,
        says_not_run: headers.contains_key(&names.not_run),
        is_signed: headers.contains_key(&names.signature),
        is_encoded: headers.contains_key(header::CONTENT_ENCODING),
    };
    let failed = |failure, why| Err(AttemptError::new(failure, why, Some(path)));
    match head.meaning() {
        AnswerMeaning::Answer => Ok(()),
        AnswerMeaning::NotRun => failed(Failure::Refused, "the upstream did not run it"),
        AnswerMeaning::Unknown(doubt) => failed(Failure::Lost, doubt.text()),
    }
}

/// How long the connection of a response may be kept, if the upstream says so.
fn keep_alive_time(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| {
        headers
            .get(name)
            .and_then(|value: &http::HeaderValue| value.to_str().ok())
    };
    let closes = text(header::CONNECTION).is_some_and(|v| v.to_ascii_lowercase().contains("close"));
    if closes {
        return Some(Duration::ZERO);
    }
    let keep_alive = text(http::HeaderName::from_static("keep-alive"))?;
    let mut parts = keep_alive
        .split(',')
        .filter_map(|part| part.trim().split_once('='));
    let (_, secs) = parts.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    secs.trim().parse().ok().map(Duration::from_secs)
}
