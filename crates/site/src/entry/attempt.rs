//! One attempt of a request at one target.

use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;

use crate::entry::Entry;
use crate::entry::outbound::Outbound;
use crate::entry::turn::Turn;
use crate::events::Event;
use crate::events::emit;
use base::Time;
use forward::Failure;
use forward::Target;
use net::Connection;
use net::RequestError;
use quorum::clock;

/// How long a connection to a target may take.
const CONNECT: Duration = Duration::from_millis(300);

/// Time between two looks whether a target stands still.
const LOOK: Duration = Duration::from_millis(60);

/// An attempt that failed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failed {
    /// How.
    pub failure: Failure,
    /// Why, for the log.
    pub why: &'static str,
}

impl Failed {
    fn new(failure: Failure, why: &'static str) -> Self {
        Self { failure, why }
    }
}

/// An answer whose head has come.
pub(crate) struct Answered {
    pub response: Response<Incoming>,
    pub connection: Connection,
    pub turn: Turn,
    /// How long its connection may be kept afterwards. None: until the usual time.
    pub keep: Option<Duration>,
}

/// Sends a request to a target and waits for the head of its answer, until `until`.
pub(crate) async fn attempt(
    entry: &Rc<Entry>,
    out: &Outbound,
    target: &Target,
    after: Option<u64>,
    until: Time,
) -> Result<Answered, Failed> {
    let id = (target.id.clone(), target.incarnation);
    let turn = Turn::open(entry, id.clone(), out.reading);
    let kept = entry.pool.take(&id);
    let sent = match kept {
        Some(kept) => send(entry, out, target, kept, after, until).await,
        None => Err(Failed::new(Failure::NotSent, "no kept connection")),
    };
    let sent = match sent {
        Err(failed) if failed.failure == Failure::NotSent => {
            let fresh = open(entry, target, until).await?;
            send(entry, out, target, fresh, after, until).await
        }
        other => other,
    };
    let (response, connection) = sent?;
    let keep = keep_of(response.headers());
    check(entry, out, &response)?;
    entry.board.borrow_mut().record_output(&id, clock::now());
    Ok(Answered {
        response,
        connection,
        turn,
        keep,
    })
}

async fn open(entry: &Entry, target: &Target, until: Time) -> Result<Connection, Failed> {
    let span = CONNECT.min(until.since(clock::now()));
    let opened = entry.pool.open(target.addr, span).await;
    opened.map_err(|_| Failed::new(Failure::NotSent, "cannot connect"))
}

async fn send(
    entry: &Rc<Entry>,
    out: &Outbound,
    target: &Target,
    mut connection: Connection,
    after: Option<u64>,
    until: Time,
) -> Result<(Response<Incoming>, Connection), Failed> {
    // Looked at after the last wait before the send: the target may have gone, and this
    // process may have been frozen.
    let now = clock::now();
    if until <= now {
        return Err(Failed::new(Failure::NotSent, "no time is left"));
    }
    let is_known = {
        let board = entry.board.borrow();
        board
            .get(&target.id)
            .is_some_and(|t| t.incarnation == target.incarnation)
    };
    if !is_known {
        return Err(Failed::new(Failure::NotSent, "the target is gone"));
    }
    let req = out.to(
        entry.platform.headers(),
        &target.id,
        until.since(now),
        after,
    );
    let id = (target.id.clone(), target.incarnation);
    let answered = {
        let answer = connection.request(req);
        let mut answer = std::pin::pin!(answer);
        loop {
            match timeout(LOOK, answer.as_mut()).await {
                Ok(answered) => break answered,
                Err(_) if until <= clock::now() => {
                    return Err(Failed::new(Failure::Lost, "no answer in time"));
                }
                Err(_) if target.model.is_some() && still(entry, &id) => {
                    return Err(Failed::new(Failure::Lost, "the replica stands still"));
                }
                Err(_) => {}
            }
        }
    };
    match answered {
        Ok(response) => Ok((response, connection)),
        Err(RequestError::NotSent) => Err(Failed::new(Failure::NotSent, "it had ended")),
        Err(RequestError::Lost) => Err(Failed::new(Failure::Lost, "the connection broke")),
    }
}

/// Whether a target stands still. A control host is then told.
pub(crate) fn still(entry: &Entry, id: &forward::TargetId) -> bool {
    let now = clock::now();
    let was_banned = {
        let board = entry.board.borrow();
        board.get(&id.0).is_some_and(|t| t.health.is_excluded(now))
    };
    let is_still = entry.board.borrow_mut().exclude_if_stalled(id, now);
    if is_still && !was_banned {
        let own = entry
            .board
            .borrow()
            .get(&id.0)
            .map_or(0, |t| t.own_requests);
        emit(&Event::TargetStill { target: &id.0, own });
        entry.still.borrow_mut().push(id.0.clone());
        entry.telling.ring();
    }
    is_still
}

/// Whether a response is this request's own.
fn check(entry: &Entry, out: &Outbound, response: &Response<Incoming>) -> Result<(), Failed> {
    let names = entry.platform.headers();
    let headers = response.headers();
    let sent = out.headers.get(&names.attempt);
    let echoed = headers.get(&names.attempt);
    if echoed.is_some() && echoed != sent {
        return Err(Failed::new(Failure::Lost, "an answer to another request"));
    }
    let refused = headers.contains_key(&names.not_run);
    if refused || response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failed::new(Failure::Refused, "the upstream did not run it"));
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Err(Failed::new(Failure::Lost, "an encoded answer"));
    }
    let is_whole = headers.contains_key(&names.signature) && echoed.is_some();
    if response.status().is_success() && !is_whole {
        return Err(Failed::new(Failure::Lost, "an answer without signature"));
    }
    Ok(())
}

/// How long the connection of an answer may be kept.
fn keep_of(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| {
        headers
            .get(name)
            .and_then(|value: &http::HeaderValue| value.to_str().ok())
    };
    let closes = text(header::CONNECTION).is_some_and(|v| v.to_ascii_lowercase().contains("close"));
    if closes {
        return Some(Duration::ZERO);
    }
    let keep = text(http::HeaderName::from_static("keep-alive"))?;
    let mut parts = keep
        .split(',')
        .filter_map(|part| part.trim().split_once('='));
    let (_, secs) = parts.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    secs.trim().parse().ok().map(Duration::from_secs)
}
