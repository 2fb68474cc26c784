//! Calls of plain services.
//!
//! A service whose calls may not be repeated takes them under an idempotency
//! key, and each key runs at most once. Other calls are tried again while
//! nothing was sent.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;

use base::Ran;
use base::ServiceName;
use base::ServiceReport;
use net::Body;
use net::Connection;
use net::SendError;
use net::read_body;
use rules::Repeat;

use crate::clock;
use crate::entry::Arrival;
use crate::metrics::Class;
use crate::node::Node;
use crate::problem::Problem;

/// Time allowed to connect to a service.
const CONNECT: Duration = Duration::from_millis(500);

/// The largest answer of a service.
const ANSWER_BYTES: usize = 1024 * 1024;

/// A service's whole answer.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// HTTP's status.
    pub status: StatusCode,
    /// The kind of its content.
    pub content_type: String,
    /// Its body.
    pub body: Bytes,
}

/// Serves one call.
pub async fn call(
    node: &Rc<Node>,
    arrival: Arrival,
    service: &str,
    headers: &HeaderMap,
) -> Result<Response<Body>, Problem> {
    let rules = node.rules();
    let forbidden = |what: String| Problem::not_run(StatusCode::FORBIDDEN, "no-service", what);
    let name: ServiceName = service.parse().map_err(|e| forbidden(format!("{e}")))?;
    let rule = rules.service_for(&arrival.caller.name, &name);
    let rule =
        rule.ok_or_else(|| forbidden(format!("no rule lets {} call {name}", arrival.caller.name)))?;
    let class = Class {
        org: arrival.caller.org.to_string(),
        class: name.to_string(),
    };
    let arrived = arrival.arrived;
    let answer = match rule.repeat {
        Repeat::Allowed => repeatable(node, &arrival, &name, rule.deadline, headers).await?,
        Repeat::Never => {
            return Err(Problem::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no-quorum",
                "orders are not taken yet",
            ));
        }
    };
    let total = clock::now().since(arrived);
    node.metrics
        .total
        .get_or_create(&class)
        .observe(total.as_secs_f64());
    Ok(answer.into_response(Ran::Run))
}

/// Sends a call that may be repeated, to another process if one fails.
async fn repeatable(
    node: &Node,
    arrival: &Arrival,
    service: &ServiceName,
    deadline: Duration,
    headers: &HeaderMap,
) -> Result<ServiceAnswer, Problem> {
    let mut ran = Ran::NotRun;
    for process in processes(node, service) {
        let spent = clock::now().since(arrival.arrived);
        let left = deadline.saturating_sub(spent);
        if left.is_zero() {
            break;
        }
        match send(&process, arrival.body.clone(), headers, left).await {
            Ok(answer) => return Ok(answer),
            Err(SendError::NotConnected { .. }) => {}
            Err(_) => ran = Ran::Unknown,
        }
    }
    let what = format_args!("no process of {service} answered");
    let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-upstream", what);
    Err(problem.ran(ran).retry_after(Duration::from_secs(1)))
}

/// The processes of a service, those of this data centre first.
pub fn processes(node: &Node, service: &ServiceName) -> Vec<ServiceReport> {
    let upstreams = node.upstreams.borrow();
    let mut processes: Vec<_> = upstreams.processes_of(service).cloned().collect();
    fastrand::shuffle(&mut processes);
    processes.sort_by_key(|p| p.centre != node.settings.node.centre);
    processes
}

/// Sends one call to one process.
pub async fn send(
    process: &ServiceReport,
    body: Bytes,
    headers: &HeaderMap,
    span: Duration,
) -> Result<ServiceAnswer, SendError> {
    let addr = process.addr;
    let started = clock::now();
    let connection = Connection::open(addr, CONNECT.min(span)).await?;
    let response = connection
        .send(request(process, body, headers), span)
        .await?;
    let status = response.status();
    let content_type = response.headers().get("content-type");
    let content_type = content_type.and_then(|v| v.to_str().ok());
    let content_type = content_type
        .unwrap_or("application/octet-stream")
        .to_owned();
    let left = span.saturating_sub(clock::now().since(started));
    let body = read_body(response.into_body(), ANSWER_BYTES, left).await;
    let body = body.map_err(|_| SendError::Lost { addr })?;
    Ok(ServiceAnswer {
        status,
        content_type,
        body,
    })
}

fn request(process: &ServiceReport, body: Bytes, headers: &HeaderMap) -> Request<Full<Bytes>> {
    const PASSED_ON: [&str; 2] = ["content-type", "idempotency-key"];
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = http::Method::POST;
    *req.uri_mut() = http::Uri::from_static("/call");
    for name in PASSED_ON {
        if let Some(value) = headers.get(name) {
            req.headers_mut().insert(name, value.clone());
        }
    }
    if let Ok(host) = process.addr.to_string().parse() {
        req.headers_mut().insert("host", host);
    }
    req
}

impl ServiceAnswer {
    /// The answer for the caller.
    pub fn into_response(self, ran: Ran) -> Response<Body> {
        let mut response = Response::new(Body::whole(self.body));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        if let Ok(kind) = self.content_type.parse() {
            headers.insert("content-type", kind);
        }
        if let Ok(ran) = ran.to_string().parse() {
            headers.insert("x-ran", ran);
        }
        response
    }
}
