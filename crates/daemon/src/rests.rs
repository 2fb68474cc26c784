//! The rests that engines and processes of services asked this node for, and requests to them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::time::timeout;
use derive_more::Display;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http_body_util::Full;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use base::Time;
use forward::RequestedRest;
use forward::RestTable;
use net::Connection;
use net::LateAnswer;
use net::ReceivedBody;
use net::SendError;
use quorum::clock;

/// Time between two log lines about rests that cannot be read.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The address of who asks for rest: the first host of a replica, or a process of a service. What
/// starts anew there, or under another controller, is still asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct RestingUpstream(pub SocketAddr);

/// The rests that this node knows.
#[derive(Debug)]
pub struct Rests {
    table: RefCell<RestTable<RestingUpstream>>,
    unreadable_logged_at: RefCell<Option<Time>>,
}

impl Rests {
    /// Knows no rests. `seed` is for the random part of the waits.
    pub fn open(seed: u64) -> Self {
        Self {
            table: RefCell::new(RestTable::new(seed)),
            unreadable_logged_at: RefCell::default(),
        }
    }

    /// Whether a request may be sent now.
    pub fn may_send(&self, upstream: RestingUpstream) -> bool {
        self.table.borrow().may_send(&upstream, clock::now())
    }

    /// How long until the first of some upstreams takes requests again. None if one does now, or
    /// there is none.
    pub fn time_to_first(
        &self,
        upstreams: impl IntoIterator<Item = RestingUpstream>,
    ) -> Option<Duration> {
        let now = clock::now();
        let table = self.table.borrow();
        let opens = upstreams.into_iter().map(|u| table.opens_at(&u, now));
        let opens: Option<Vec<Time>> = opens.collect();
        Some(opens?.into_iter().min()?.since(now))
    }

    /// Records that a request is sent.
    fn record_sent(&self, upstream: RestingUpstream) {
        self.table.borrow_mut().record_sent(&upstream, clock::now());
    }

    /// Records what an answer says. `sent_at` is when the request was sent.
    fn record_answer<Body>(
        &self,
        upstream: RestingUpstream,
        response: &Response<Body>,
        sent_at: Time,
    ) -> Option<RequestedRest> {
        let headers = response.headers();
        let values = headers.get_all(header::RETRY_AFTER);
        let values = values.iter().map(HeaderValue::as_bytes);
        let date = headers.get(header::DATE).map(HeaderValue::as_bytes);
        let asked = RequestedRest::of_answer(response.status().as_u16(), values, date);
        let now = clock::now();
        let mut table = self.table.borrow_mut();
        match &asked {
            Ok(Some(rest)) if table.record_rest(&upstream, *rest, now) => {
                let (upstream, ms) = (upstream.to_string(), rest.length().as_millis());
                emit(&Event::RestAsked { upstream, ms });
            }
            Ok(Some(_)) => {}
            Ok(None) => table.record_answer(&upstream, sent_at),
            Err(e) => self.log_unreadable(upstream, e, now),
        }
        asked.ok().flatten()
    }

    /// Records what became of the answer to an abandoned request.
    fn record_late(&self, upstream: RestingUpstream, answer: &LateAnswer, sent_at: Time) {
        let LateAnswer::Heard(response, late) = answer else {
            return;
        };
        if let Some(rest) = self.record_answer(upstream, response, sent_at) {
            let (upstream, ms) = (upstream.to_string(), rest.length().as_millis());
            let late_ms = late.as_millis();
            emit(&Event::RestHeardLate {
                upstream,
                ms,
                late_ms,
            });
        }
    }

    fn log_unreadable(&self, upstream: RestingUpstream, why: &forward::RestError, now: Time) {
        let mut last = self.unreadable_logged_at.borrow_mut();
        if last.is_some_and(|at| now.since(at) < UNREADABLE_LOG_INTERVAL) {
            return;
        }
        *last = Some(now);
        let (upstream, why) = (upstream.to_string(), why.to_string());
        emit(&Event::RestUnreadable { upstream, why });
    }
}

/// Sends the only request of a connection, waits at most `time_limit` for the head of the answer, and
/// records what it says of its upstream, also if nobody waits any more.
pub async fn send(
    node: &Node,
    upstream: RestingUpstream,
    connection: Connection,
    req: Request<Full<Bytes>>,
    time_limit: Duration,
) -> Result<Response<ReceivedBody>, SendError> {
    let addr = connection.addr();
    node.rests.record_sent(upstream);
    let sent_at = clock::now();
    let rests = Rc::clone(&node.rests);
    let mut answer = node.late_answers.send(connection, req, move |answer| {
        rests.record_late(upstream, &answer, sent_at);
    });
    let head = timeout(time_limit, answer.head()).await;
    let head = head.map_err(|_| SendError::Timeout { addr, time_limit })?;
    let (response, connection) = head.map_err(|_| SendError::Lost { addr })?;
    connection.detach();
    node.rests.record_answer(upstream, &response, sent_at);
    Ok(response)
}
