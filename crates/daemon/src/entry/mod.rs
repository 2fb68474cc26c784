//! The HTTP listener for callers: chat completions and calls to services.

mod answer;
mod answer_body;
mod auth;
mod call;
mod chat;
mod chunk;
mod completion;
mod engine_events;
mod exchange;
mod request;
mod service;
mod service_calls;

pub use auth::bearer_secret;
pub use exchange::ExchangeError;
pub use service_calls::ServiceCalls;
pub use service_calls::run_service_calls;

use std::pin::pin;
use std::rc::Rc;

use futures_util::future::Either;
use futures_util::future::select;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;

use crate::metrics::RefusalLabels;
use crate::node::Node;
use crate::node::Phase;
use crate::problem::Problem;
use crate::problem_kind::ProblemKind;
use base::Ran;
use memory::ListenerShare;
use net::Body;
use net::BodyError;
use net::ConnectionAccount;
use net::HeadLimit;
use net::Inbound;
use net::Server;
use net::ServerLimits;
use net::read_request;
use quorum::clock;

/// The part of callers in the connections that the machine bears.
const CALLER_SHARE: ListenerShare = ListenerShare {
    memory: 70,
    descriptors: 100,
};

/// Listens for callers.
pub async fn bind(node: &Rc<Node>) -> std::io::Result<Server> {
    let limits = &node.settings.limits;
    let bounds = ServerLimits {
        memory: node.memory.clone(),
        share: CALLER_SHARE,
        max_connections: limits.max_connections,
        max_head: HeadLimit::new(limits.max_header_bytes.0 as usize),
        header_timeout: limits.arrival_timeout,
        write_stall_timeout: limits.stall_timeout,
    };
    let node = Rc::clone(node);
    let addr = node.settings.node.caller_addr;
    Server::bind(addr, bounds, move |req| answer(Rc::clone(&node), req)).await
}

async fn answer(node: Rc<Node>, req: Request<Inbound>) -> Response<Body> {
    match req.uri().path() {
        "/live" => return text_response(StatusCode::OK, "live"),
        "/ready" => return readiness(&node),
        _ => {}
    }
    let call_headers = match is_service_path(req.uri().path()) {
        true => req.headers().clone(),
        false => HeaderMap::new(),
    };
    match serve_until_last_call(&node, req).await {
        Ok(response) => response,
        Err(problem) => {
            let problem = call::refused_before_ledger(problem, &call_headers);
            let labels = RefusalLabels {
                org: problem.class.org.clone(),
                class: problem.class.class.clone(),
                reason: problem.kind.name().to_owned(),
                ran: problem.ran.to_string(),
            };
            node.metrics.refusals.get_or_create(&labels).inc();
            problem.into_response()
        }
    }
}

/// Serves a request. One that has no answer when this process ends may have run.
async fn serve_until_last_call(
    node: &Rc<Node>,
    req: Request<Inbound>,
) -> Result<Response<Body>, Problem> {
    let served = pin!(serve(node, req));
    let last_call = pin!(node.last_call.given());
    match select(served, last_call).await {
        Either::Left((served, _)) => served,
        Either::Right(_) => {
            let what = "the node stopped before the answer came";
            Err(Problem::not_run(ProblemKind::AnswerLost, what).ran(Ran::Unknown))
        }
    }
}

async fn serve(node: &Rc<Node>, req: Request<Inbound>) -> Result<Response<Body>, Problem> {
    let arrived = clock::now();
    check_capacity(node)?;
    let in_flight = node.start_request();
    let (head, body) = req.into_parts();
    let caller = auth::authenticate(node, &head.headers)?;
    let connection = body.account().clone();
    let limits = &node.settings.limits;
    let read = read_request(
        body,
        limits.max_body_bytes.0 as usize,
        limits.arrival_timeout,
    )
    .await;
    let body = read.map_err(body_problem)?;
    let arrival = Arrival {
        caller,
        connection,
        body,
        arrived,
        in_flight,
    };
    match route(&head) {
        Route::Chat => chat::chat(node, arrival).await,
        Route::Service(service) => call::call(node, arrival, service, &head.headers).await,
        Route::Unknown => {
            let what = format_args!("there is no {} {}", head.method, head.uri.path());
            Err(Problem::not_run(ProblemKind::NoSuchPath, what))
        }
    }
}

/// Path prefix of calls to services.
const SERVICES_PATH: &str = "/v1/services/";

/// A request whose caller is authenticated and whose body was read.
#[derive(Debug)]
pub struct Arrival {
    /// The caller.
    pub caller: auth::AuthenticatedCaller,
    /// Its connection in the memory account.
    pub connection: ConnectionAccount,
    /// The body.
    pub body: bytes::Bytes,
    /// When the request arrived.
    pub arrived: base::Time,
    /// Counts the request as in progress.
    pub in_flight: crate::node::InFlightRequest,
}

#[derive(Debug)]
enum Route<'a> {
    Chat,
    Service(&'a str),
    Unknown,
}

fn route(head: &Parts) -> Route<'_> {
    let path = head.uri.path();
    let is_post = head.method == http::Method::POST;
    match path.strip_prefix(SERVICES_PATH) {
        Some(service) if is_post => Route::Service(service),
        None if is_post && path == "/v1/chat/completions" => Route::Chat,
        _ => Route::Unknown,
    }
}

fn is_service_path(path: &str) -> bool {
    path.starts_with(SERVICES_PATH)
}

fn check_capacity(node: &Node) -> Result<(), Problem> {
    let soon = std::time::Duration::from_secs(1);
    match node.phase.get() {
        Phase::Starting => {
            let what = "this node has no configuration yet";
            return Err(Problem::not_run(ProblemKind::Starting, what).retry_after(soon));
        }
        Phase::Draining => {
            let what = "this node is stopping";
            return Err(Problem::not_run(ProblemKind::Stopping, what).retry_after(soon));
        }
        Phase::Serving | Phase::Leaving => {}
    }
    if node.settings.limits.max_requests <= node.in_flight() {
        let what = "this node has reached its limit of requests in progress";
        return Err(Problem::not_run(ProblemKind::NodeFull, what).retry_after(soon));
    }
    Ok(())
}

fn body_problem(error: BodyError) -> Problem {
    let kind = match error {
        BodyError::TooLarge { .. } => ProblemKind::BodyTooLarge,
        BodyError::TooSlow { .. } => ProblemKind::BodyTooSlow,
        BodyError::Broken | BodyError::Unreadable => ProblemKind::BodyBroken,
        BodyError::NoMemory => {
            let soon = std::time::Duration::from_secs(1);
            return Problem::not_run(ProblemKind::NoMemory, error).retry_after(soon);
        }
    };
    Problem::not_run(kind, error)
}

fn readiness(node: &Node) -> Response<Body> {
    match node.phase.get() {
        Phase::Serving => text_response(StatusCode::OK, "ready"),
        Phase::Starting => text_response(StatusCode::SERVICE_UNAVAILABLE, "starting"),
        Phase::Leaving | Phase::Draining => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping")
        }
    }
}

fn text_response(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
    response
}
