//! What upstreams say of themselves in the heads of their answers, whatever request they answer:
//! the limits on their requests, and the rests that they ask for.
//!
//! A rest is told to the machine that a request came from. It is kept by this host, and by the one
//! that the connection leads through, which is told at once (`rest_notices`).

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::header;
use http_body_util::Full;

use crate::entry::EntryHost;
use crate::entry::limits::record_limit;
use crate::entry::paths::path_of;
use crate::entry::rest_notices;
use crate::events::Event;
use crate::events::emit;
use base::NodeId;
use base::Time;
use fleet::AskedRest;
use forward::ConnectPath;
use forward::RequestedRest;
use forward::RestingTargets;
use forward::Target;
use forward::TargetId;
use net::AwaitedAnswer;
use net::Connection;
use net::LateAnswer;
use quorum::clock;

/// Time between two log lines about rests that cannot be read.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The longest part of an unreadable value that is logged, in characters.
const MAX_LOGGED_CHARS: usize = 40;

impl EntryHost {
    /// How many upstreams asked this host for rest.
    pub fn count_resting(&self) -> usize {
        resting_targets(self, clock::now()).own.len()
    }
}

/// The targets that asked for rest.
pub(crate) fn resting_targets(entry: &EntryHost, now: Time) -> RestingTargets {
    let rests = entry.rests.borrow();
    let targets = entry.targets.borrow();
    let own_id = entry.settings.node_id();
    let is_current = |(id, incarnation): &TargetId| {
        let target = targets.get(id);
        target.is_some_and(|target| target.incarnation == *incarnation)
    };
    let mut resting = RestingTargets::default();
    for ((id, asked), at) in rests
        .table
        .closed(now)
        .filter(|((id, _), _)| is_current(id))
    {
        match *asked == own_id {
            true => drop(resting.own.insert(id.0.clone(), at)),
            false => drop(resting.elsewhere.insert(id.0.clone())),
        }
    }
    resting
}

/// The other entry hosts that a target asked for rest.
pub(crate) fn resting_peers(entry: &EntryHost, target: &Target) -> BTreeSet<NodeId> {
    let rests = entry.rests.borrow();
    let closed = rests.table.closed(clock::now());
    let id = (target.id.clone(), target.incarnation);
    let asked = closed.filter(|((resting, _), _)| *resting == id);
    asked.map(|((_, asked), _)| *asked).collect()
}

/// Whether a request may be sent to a target over this path now.
pub(crate) fn may_send(entry: &EntryHost, target: &Target, path: ConnectPath) -> bool {
    let now = clock::now();
    let rests = entry.rests.borrow();
    let asked = machines(entry, path).into_iter();
    let mut keys = asked.map(|machine| ((target.id.clone(), target.incarnation), machine));
    let may_send = keys.all(|key| rests.table.may_send(&key, now));
    if !may_send {
        entry.metrics.count_held_back();
    }
    may_send
}

/// Records that a request is sent to a target.
fn record_sent(entry: &EntryHost, target: &Target, path: ConnectPath) {
    let now = clock::now();
    let mut rests = entry.rests.borrow_mut();
    for machine in machines(entry, path) {
        let key = ((target.id.clone(), target.incarnation), machine);
        rests.table.record_sent(&key, now);
    }
}

/// Sends a request to a target. If it is abandoned, what its answer says is still recorded.
pub(crate) fn send(
    entry: &Rc<EntryHost>,
    target: &Target,
    connection: Connection,
    req: Request<Full<Bytes>>,
) -> AwaitedAnswer {
    let path = path_of(&connection);
    let sent_at = clock::now();
    record_sent(entry, target, path);
    let (late_entry, late_target) = (Rc::clone(entry), target.clone());
    entry.late_answers.send(connection, req, move |answer| {
        record_late(&late_entry, &late_target, &answer, path, sent_at);
    })
}

/// Records what the answer to an abandoned request says.
fn record_late(
    entry: &Rc<EntryHost>,
    target: &Target,
    answer: &LateAnswer,
    path: ConnectPath,
    sent_at: Time,
) {
    entry.metrics.count_late_answer(answer);
    let LateAnswer::Heard(response, late) = answer else {
        return;
    };
    if let Some(rest) = record_statements(entry, target, response, path, sent_at) {
        let (target, ms) = (&target.id, rest.length().as_millis());
        let late_ms = late.as_millis();
        emit(&Event::RestHeardLate {
            target,
            path,
            ms,
            late_ms,
        });
    }
}

/// Records what an answer says of its upstream. `sent_at` is when the request was sent. Returns the
/// rest that it asks for.
pub(crate) fn record_statements<Body>(
    entry: &Rc<EntryHost>,
    target: &Target,
    response: &Response<Body>,
    path: ConnectPath,
    sent_at: Time,
) -> Option<RequestedRest> {
    record_limit(entry, target, response, sent_at);
    let headers = response.headers();
    let values = headers.get_all(&entry.platform.headers().rest);
    let values = values.iter().map(http::HeaderValue::as_bytes);
    let date = headers.get(header::DATE);
    let date = date.map(http::HeaderValue::as_bytes);
    let asked = RequestedRest::of_answer(response.status().as_u16(), values, date);
    match asked {
        Ok(Some(rest)) => {
            record_rest(entry, target, path, rest);
            Some(rest)
        }
        Ok(None) => {
            record_no_rest(entry, target, path, sent_at);
            None
        }
        Err(e) => {
            let value = headers.get(&entry.platform.headers().rest);
            let value = value.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
            log_unreadable(entry, target, &value.unwrap_or_default(), &e);
            None
        }
    }
}

fn record_rest(entry: &Rc<EntryHost>, target: &Target, path: ConnectPath, rest: RequestedRest) {
    let now = clock::now();
    let (mut is_new, mut is_news) = (false, false);
    let mut rests = entry.rests.borrow_mut();
    for machine in machines(entry, path) {
        let key = ((target.id.clone(), target.incarnation), machine);
        is_news |= rests.is_news(&key, rest, now);
        is_new |= rests.table.record_rest(&key, rest, now);
        rests.unreported.insert(key);
    }
    rests.record_place(target);
    rests.follow_restarts(&entry.targets.borrow(), now);
    drop(rests);
    if is_new {
        let ms = rest.length().as_millis();
        let target = &target.id;
        emit(&Event::RestAsked { target, path, ms });
    }
    if is_news {
        rest_notices::tell(entry, target, path, rest);
    }
    entry.observations_added.notify_waiters();
}

/// Records a rest that another entry host tells of. Returns whether it is worth passing on.
pub(crate) fn record_told_rest(entry: &EntryHost, told: &AskedRest) -> bool {
    let now = clock::now();
    let rest = RequestedRest::new(told.left());
    let key = ((told.process.clone(), told.incarnation), told.entry);
    let mut rests = entry.rests.borrow_mut();
    let is_news = rests.is_news(&key, rest, now);
    rests.table.record_rest(&key, rest, now);
    rests.follow_restarts(&entry.targets.borrow(), now);
    is_news
}

fn record_no_rest(entry: &EntryHost, target: &Target, path: ConnectPath, sent_at: Time) {
    let mut rests = entry.rests.borrow_mut();
    for machine in machines(entry, path) {
        let key = ((target.id.clone(), target.incarnation), machine);
        rests.table.record_answer(&key, sent_at);
    }
    drop(rests);
    entry.capacity_changed.notify_waiters();
}

/// The machines that a request over this path comes from for its target: this one sends it, the
/// other one's address is what the target sees.
fn machines(entry: &EntryHost, path: ConnectPath) -> Vec<NodeId> {
    let own_id = entry.settings.node_id();
    match path {
        ConnectPath::Direct => vec![own_id],
        ConnectPath::Through(peer) => vec![own_id, peer],
    }
}

fn log_unreadable(entry: &EntryHost, target: &Target, value: &str, why: &forward::RestError) {
    let now = clock::now();
    let mut rests = entry.rests.borrow_mut();
    let last = rests.unreadable_logged_at;
    if last.is_some_and(|at| now.since(at) < UNREADABLE_LOG_INTERVAL) {
        return;
    }
    rests.unreadable_logged_at = Some(now);
    let target = &target.id;
    let value = value.chars().take(MAX_LOGGED_CHARS).collect();
    let why = why.to_string();
    emit(&Event::RestUnreadable { target, value, why });
}
