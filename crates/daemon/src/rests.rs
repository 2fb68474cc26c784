//! The rests that engines and processes of services asked this node for.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use http::HeaderValue;
use http::Response;
use http::header;
use hyper::body::Incoming;

use crate::events::Event;
use crate::events::emit;
use base::Fence;
use base::Incarnation;
use base::ReplicaId;
use base::Time;
use forward::RequestedRest;
use forward::RestTable;
use quorum::clock;

/// Time between two log lines about rests that cannot be read.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Who asks for rest. One that starts again is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum RestingUpstream {
    /// The first host of a replica.
    #[display("{_0}")]
    Replica(ReplicaId, Fence),
    /// A process of a service.
    #[display("{_0}")]
    Process(SocketAddr, Incarnation),
}

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
    pub fn record_sent(&self, upstream: RestingUpstream) {
        self.table.borrow_mut().record_sent(&upstream, clock::now());
    }

    /// Records what an answer says. `sent_at` is when the request was sent.
    pub fn record_answer(
        &self,
        upstream: RestingUpstream,
        response: &Response<Incoming>,
        sent_at: Time,
    ) {
        let headers = response.headers();
        let values = headers.get_all(header::RETRY_AFTER);
        let values = values.iter().map(HeaderValue::as_bytes);
        let date = headers.get(header::DATE).map(HeaderValue::as_bytes);
        let asked = RequestedRest::of_answer(response.status().as_u16(), values, date);
        let now = clock::now();
        let mut table = self.table.borrow_mut();
        match asked {
            Ok(Some(rest)) if table.record_rest(&upstream, rest, now) => {
                let (upstream, ms) = (upstream.to_string(), rest.length().as_millis());
                emit(&Event::RestAsked { upstream, ms });
            }
            Ok(Some(_)) => {}
            Ok(None) => table.record_answer(&upstream, sent_at),
            Err(e) => self.log_unreadable(upstream, &e, now),
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
