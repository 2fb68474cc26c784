//! Exchanges with the processes of plain services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::Full;

use crate::entry::auth;
use crate::entry::orders::stored;
use crate::node::Node;
use base::ServiceName;
use base::ServiceReport;
use net::Connection;
use net::SendError;
use net::read_body;
use order::QueryReply;
use state::StoredAnswer;

/// Time allowed to connect to a service.
const CONNECT: Duration = Duration::from_millis(500);

/// Time after which an exchange is given up whatever the rules allow.
const EXCHANGE: Duration = Duration::from_secs(600);

/// Time allowed to a question about an outcome.
const ASK: Duration = Duration::from_secs(1);

/// The largest answer of a service.
const ANSWER_BYTES: usize = 1024 * 1024;

/// The service refused a call and says that it did not run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Declined;

/// The processes of a service that take work, those of this data centre first.
pub fn processes(node: &Node, service: &ServiceName) -> Vec<ServiceReport> {
    let upstreams = node.upstreams.borrow();
    let mut processes: Vec<_> = upstreams.processes_of(service).cloned().collect();
    fastrand::shuffle(&mut processes);
    processes.sort_by_key(|p| p.centre != node.settings.node.centre);
    processes
}

/// Connects to a process. Nothing is sent yet.
pub async fn connect(addr: SocketAddr) -> Result<Connection, SendError> {
    Connection::connect(addr, CONNECT).await
}

/// The request that a caller's call becomes.
pub fn request(
    node: &Node,
    addr: SocketAddr,
    body: Bytes,
    headers: &HeaderMap,
) -> Request<Full<Bytes>> {
    const PASSED_ON: [&str; 2] = ["content-type", "idempotency-key"];
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = http::Method::POST;
    *req.uri_mut() = http::Uri::from_static("/call");
    for name in PASSED_ON {
        if let Some(value) = headers.get(name) {
            req.headers_mut().insert(name, value.clone());
        }
    }
    req.headers_mut()
        .insert("authorization", auth::own_name(node));
    if let Ok(host) = addr.to_string().parse() {
        req.headers_mut().insert("host", host);
    }
    req
}

/// Sends a call and reads its whole answer.
pub async fn exchange(
    connection: Connection,
    req: Request<Full<Bytes>>,
) -> Result<Result<Arc<StoredAnswer>, Declined>, SendError> {
    let addr = connection.addr();
    let response = connection.send(req, EXCHANGE).await?;
    let (head, body) = response.into_parts();
    if head
        .headers
        .get("x-ran")
        .is_some_and(|ran| ran == "not-run")
    {
        return Ok(Err(Declined));
    }
    let content_type = head.headers.get("content-type");
    let content_type = content_type.and_then(|v| v.to_str().ok()).unwrap_or("");
    let body = read_body(body, ANSWER_BYTES, EXCHANGE).await;
    let body = body.map_err(|_| SendError::Lost { addr })?;
    Ok(Ok(stored(head.status.as_u16(), content_type, &body)))
}

/// Asks processes in turn for the outcome of the key in a head.
pub async fn ask(node: &Node, processes: &[ServiceReport], headers: &HeaderMap) -> QueryReply {
    for process in processes {
        if let Some(reply) = ask_one(node, process.addr, headers).await {
            return reply;
        }
    }
    QueryReply::Failed
}

async fn ask_one(node: &Node, addr: SocketAddr, headers: &HeaderMap) -> Option<QueryReply> {
    let connection = Connection::connect(addr, CONNECT).await.ok()?;
    let mut req = request(node, addr, Bytes::new(), headers);
    *req.uri_mut() = http::Uri::from_static("/outcome");
    let response = connection.send(req, ASK).await.ok()?;
    let (head, body) = response.into_parts();
    if head.status == StatusCode::NOT_FOUND {
        return Some(QueryReply::NotKnown);
    }
    if head.status != StatusCode::OK {
        return None;
    }
    let content_type = head.headers.get("content-type");
    let content_type = content_type.and_then(|v| v.to_str().ok()).unwrap_or("");
    let body = read_body(body, ANSWER_BYTES, ASK).await.ok()?;
    Some(QueryReply::Ran(stored(200, content_type, &body)))
}
