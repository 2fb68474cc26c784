//! The callers' side: chats and calls of services by HTTP.

mod auth;
mod call;
mod chat;
mod chunk;
mod completion;
mod exchange;
mod orders;
mod request;
mod service;

pub use auth::bearer;
pub use exchange::Break;
pub use orders::Orders;
pub use orders::orders_on;

use std::rc::Rc;

use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use hyper::body::Incoming;

use crate::metrics::RefusalLabels;
use crate::node::Node;
use crate::node::Phase;
use crate::problem::Problem;
use crate::problem_kind::ProblemKind;
use net::Body;
use net::BodyError;
use net::Server;
use net::ServerLimits;
use net::read_body;
use quorum::clock;

/// Listens for callers.
pub async fn bind(node: &Rc<Node>) -> std::io::Result<Server> {
    let limits = &node.settings.limits;
    let bounds = ServerLimits {
        max_connections: limits.max_connections,
        max_header_bytes: limits.max_header_bytes.0 as usize,
        header_timeout: limits.arrival_timeout,
        write_stall_timeout: limits.stall_timeout,
    };
    let node = Rc::clone(node);
    let addr = node.settings.node.caller_addr;
    Server::bind(addr, bounds, move |req| answer(Rc::clone(&node), req)).await
}

async fn answer(node: Rc<Node>, req: Request<Incoming>) -> Response<Body> {
    match req.uri().path() {
        "/live" => return plain(StatusCode::OK, "live"),
        "/ready" => return ready(&node),
        _ => {}
    }
    let keyed = match is_service(req.uri().path()) {
        true => req.headers().clone(),
        false => HeaderMap::new(),
    };
    match serve(&node, req).await {
        Ok(response) => response,
        Err(problem) => {
            let problem = call::before_ledger(problem, &keyed);
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

async fn serve(node: &Rc<Node>, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
    let arrived = clock::now();
    check_room(node)?;
    let in_flight = node.count_request();
    let (head, body) = req.into_parts();
    let caller = auth::caller(node, &head.headers)?;
    let limits = &node.settings.limits;
    let read = read_body(
        body,
        limits.max_body_bytes.0 as usize,
        limits.arrival_timeout,
    )
    .await;
    let body = read.map_err(unreadable)?;
    let arrival = Arrival {
        caller,
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

/// Where services are called.
const SERVICES: &str = "/v1/services/";

/// A request whose caller is known and whose body was read.
#[derive(Debug)]
pub struct Arrival {
    /// Who asks.
    pub caller: auth::Known,
    /// The body.
    pub body: bytes::Bytes,
    /// When the request arrived.
    pub arrived: base::Time,
    /// Counts it.
    pub in_flight: crate::node::InFlight,
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
    match path.strip_prefix(SERVICES) {
        Some(service) if is_post => Route::Service(service),
        None if is_post && path == "/v1/chat/completions" => Route::Chat,
        _ => Route::Unknown,
    }
}

fn is_service(path: &str) -> bool {
    path.starts_with(SERVICES)
}

fn check_room(node: &Node) -> Result<(), Problem> {
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
        let what = "this node has as many requests in progress as it takes";
        return Err(Problem::not_run(ProblemKind::NodeFull, what).retry_after(soon));
    }
    Ok(())
}

fn unreadable(error: BodyError) -> Problem {
    let kind = match error {
        BodyError::TooLarge { .. } => ProblemKind::BodyTooLarge,
        BodyError::TooSlow { .. } => ProblemKind::BodyTooSlow,
        BodyError::Broken => ProblemKind::BodyBroken,
    };
    Problem::not_run(kind, error)
}

fn ready(node: &Node) -> Response<Body> {
    match node.phase.get() {
        Phase::Serving => plain(StatusCode::OK, "ready"),
        Phase::Starting => plain(StatusCode::SERVICE_UNAVAILABLE, "starting"),
        Phase::Leaving | Phase::Draining => plain(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() = status;
    response
}
