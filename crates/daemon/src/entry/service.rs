//! Exchanges with the processes of services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;

use crate::entry::auth;
use crate::entry::exchange::answer_head;
use crate::entry::service_calls::stored_answer;
use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::rests;
use crate::rests::RestingUpstream;
use base::ServiceName;
use base::ServiceReport;
use forward::AnswerMeaning;
use forward::Framing;
use forward::IdUse;
use memory::Holding;
use net::Connection;
use net::ReceivedBody;
use net::SendError;
use net::read_answer;
use order::QueryReply;
use state::StoredAnswer;
use wire::engine::REQUEST_ID_HEADER;

/// Time allowed to connect to a service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an exchange is ended, even if the rules allow longer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(600);

/// Time allowed for a query of an outcome.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest body of a service's answer.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// The service refused a call and reports that it did not run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Declined;

/// A process as an upstream that may rest.
pub fn resting_process(process: &ServiceReport) -> RestingUpstream {
    RestingUpstream(process.addr)
}

/// How long until a process of a service takes calls again, if all of them asked for rest.
pub fn time_to_first(node: &Node, service: &ServiceName) -> Option<Duration> {
    let upstreams = node.upstreams.borrow();
    let processes = upstreams.active_processes(service).map(resting_process);
    node.rests.time_to_first(processes)
}

/// The processes of a service that accept calls and don't rest, in random order, those of this
/// data centre first.
pub fn processes(node: &Node, service: &ServiceName) -> Vec<ServiceReport> {
    let upstreams = node.upstreams.borrow();
    let active = upstreams.active_processes(service);
    let awake = active.filter(|process| node.rests.may_send(resting_process(process)));
    let mut processes: Vec<_> = awake.cloned().collect();
    fastrand::shuffle(&mut processes);
    processes.sort_by_key(|p| p.centre != node.settings.node.centre);
    processes
}

/// Connects to a process. Nothing is sent yet.
pub async fn connect(addr: SocketAddr) -> Result<Connection, SendError> {
    Connection::connect(addr, CONNECT_TIMEOUT).await
}

/// The request to a process for a caller's call. The process repeats the request's `id` when it
/// refuses it.
pub fn request(
    node: &Node,
    addr: SocketAddr,
    body: Bytes,
    headers: &HeaderMap,
    id: &str,
) -> Request<Full<Bytes>> {
    const FORWARDED_HEADERS: [&str; 2] = ["content-type", "idempotency-key"];
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = http::Method::POST;
    *req.uri_mut() = http::Uri::from_static("/call");
    for name in FORWARDED_HEADERS {
        if let Some(value) = headers.get(name) {
            req.headers_mut().insert(name, value.clone());
        }
    }
    req.headers_mut()
        .insert("authorization", auth::upstream_authorization(node));
    if let Ok(id) = id.parse() {
        req.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    if let Ok(host) = addr.to_string().parse() {
        req.headers_mut().insert("host", host);
    }
    req
}

/// Sends a call and reads the complete answer.
pub async fn exchange(
    node: &Node,
    process: RestingUpstream,
    connection: Connection,
    req: Request<Full<Bytes>>,
    id: &str,
) -> Result<Result<Arc<StoredAnswer>, Declined>, SendError> {
    let addr = connection.addr();
    let response = rests::send(node, process, connection, req, EXCHANGE_TIMEOUT).await?;
    match meaning_of(&response, id) {
        AnswerMeaning::Answer => {}
        AnswerMeaning::NotRun => return Ok(Err(Declined)),
        AnswerMeaning::Unknown(doubt) => {
            emit(&Event::ServiceAnswerRejected {
                addr,
                status: response.status().as_u16(),
                why: doubt.text(),
            });
            return Err(SendError::Lost { addr });
        }
    }
    let answer = read_whole(node, response, EXCHANGE_TIMEOUT).await;
    answer.map(Ok).ok_or(SendError::Lost { addr })
}

/// What a process's answer to the only request of its connection may be taken for. Each request has
/// an id of its own.
fn meaning_of(response: &Response<ReceivedBody>, id: &str) -> AnswerMeaning {
    let is_signed = true;
    answer_head(response, id, IdUse::First, is_signed).meaning()
}

/// Queries processes in turn for the outcome of the key in `headers`.
pub async fn query_outcome(
    node: &Node,
    processes: &[ServiceReport],
    headers: &HeaderMap,
) -> QueryReply {
    for process in processes {
        if let Some(reply) = query_process(node, process, headers).await {
            return reply;
        }
    }
    QueryReply::Failed
}

async fn query_process(
    node: &Node,
    process: &ServiceReport,
    headers: &HeaderMap,
) -> Option<QueryReply> {
    let addr = process.addr;
    let connection = Connection::connect(addr, CONNECT_TIMEOUT).await.ok()?;
    let process = resting_process(process);
    if !node.rests.may_send(process) {
        return None;
    }
    let id = node.global_request_id(node.next_request_id());
    let mut req = request(node, addr, Bytes::new(), headers, &id);
    *req.uri_mut() = http::Uri::from_static("/outcome");
    let response = rests::send(node, process, connection, req, QUERY_TIMEOUT).await;
    let response = response.ok()?;
    if meaning_of(&response, &id) != AnswerMeaning::Answer {
        return None;
    }
    match response.status() {
        StatusCode::NOT_FOUND => Some(QueryReply::NotKnown),
        StatusCode::OK => {
            let answer = read_whole(node, response, QUERY_TIMEOUT).await;
            answer.map(QueryReply::Ran)
        }
        _ => None,
    }
}

/// Reads an answer. None if it is not whole, or may not be.
async fn read_whole(
    node: &Node,
    response: Response<ReceivedBody>,
    time_limit: Duration,
) -> Option<Arc<StoredAnswer>> {
    let (head, body) = response.into_parts();
    let headers = &head.headers;
    let is_framed = headers.contains_key(http::header::CONTENT_LENGTH)
        || headers.contains_key(http::header::TRANSFER_ENCODING);
    let framing = match is_framed {
        true => Framing::Framed,
        false => Framing::UntilClose,
    };
    let status = head.status.as_u16();
    let content_type = headers.get("content-type");
    let content_type = content_type.and_then(|v| v.to_str().ok()).unwrap_or("");
    let charge = node.memory.charge(Holding::Answer);
    let read = read_answer(body, MAX_ANSWER_BYTES, time_limit, charge).await;
    let body = read.ok()?;
    let is_whole = !framing.may_lack_body(status, body.len());
    is_whole.then(|| stored_answer(status, content_type, &body))
}
