//! The system's own side: upstreams, operators and other nodes, by JSON-RPC.
//!
//! Each of the three proves what it is by a secret of its own, and reaches only
//! the methods that are meant for it.

mod announce;
mod beats;
mod kept;
mod operate;
mod pull;
mod relay;
mod status;

use std::rc::Rc;

use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use crate::control;
use crate::entry::bearer;
use crate::node::Node;
use crate::voters;
use net::Body;
use net::RpcMethods;
use net::Server;
use net::ServerLimits;
use net::read_body;
use wire::upstream::HEARTBEATS_PATH;

pub use kept::Keeper;
pub use kept::keep_on;
pub use kept::restore;
pub use pull::bring_into_force;
pub use pull::pull_from;
pub use pull::pull_on;
pub use relay::Untold;
pub use relay::relay_on;

/// The largest call: a snapshot's part or a rules file, with room for its envelope.
const CALL_BYTES: usize = 8 * 1024 * 1024;

/// The methods for each kind of process.
struct Offered {
    peers: RpcMethods<Node>,
    upstreams: RpcMethods<Node>,
    operators: RpcMethods<Node>,
}

impl Offered {
    fn new(node: &Rc<Node>) -> Self {
        let cx = || Rc::clone(node);
        Self {
            peers: peers(cx()),
            upstreams: announce::methods(RpcMethods::new(cx())),
            operators: voters::operator_methods(operate::methods(RpcMethods::new(cx()))),
        }
    }

    /// The methods that a request's secret opens.
    fn to(&self, node: &Node, headers: &HeaderMap) -> Option<&RpcMethods<Node>> {
        let secrets = &node.settings.secrets;
        let given = bearer(headers)?;
        if secrets.peers.matches(given) {
            return Some(&self.peers);
        }
        if secrets.upstreams.matches(given) {
            return Some(&self.upstreams);
        }
        secrets.operators.matches(given).then_some(&self.operators)
    }
}

fn peers(node: Rc<Node>) -> RpcMethods<Node> {
    let methods = relay::methods(RpcMethods::new(node));
    let methods = status::methods(pull::methods(methods));
    voters::methods(control::methods(methods))
}

/// Listens for the system's own processes.
pub async fn bind(node: &Rc<Node>) -> std::io::Result<Server> {
    let bounds = ServerLimits::default();
    let offered = Rc::new(Offered::new(node));
    let node = Rc::clone(node);
    let addr = node.settings.node.internal_addr;
    Server::bind(addr, bounds, move |req| {
        answer(Rc::clone(&node), Rc::clone(&offered), req)
    })
    .await
}

async fn answer(node: Rc<Node>, offered: Rc<Offered>, req: Request<Incoming>) -> Response<Body> {
    match req.uri().path() {
        "/metrics" => {
            node.metrics.control_bytes(&node.meter);
            return Response::new(Body::whole(node.metrics.encode()));
        }
        HEARTBEATS_PATH => return take_beats(node, req),
        "/rpc" => {}
        _ => return status(StatusCode::NOT_FOUND),
    }
    let (head, body) = req.into_parts();
    let Some(methods) = offered.to(&node, &head.headers) else {
        return status(StatusCode::UNAUTHORIZED);
    };
    match read_body(body, CALL_BYTES, node.settings.limits.arrival_timeout).await {
        Ok(bytes) => {
            node.meter.add_received_message(bytes.len());
            let reply = methods.handle_request(&bytes).await;
            node.meter.add_sent_message(reply.len());
            Response::new(Body::whole(reply))
        }
        Err(_) => status(StatusCode::BAD_REQUEST),
    }
}

fn take_beats(node: Rc<Node>, req: Request<Incoming>) -> Response<Body> {
    let given = bearer(req.headers()).unwrap_or_default();
    match node.settings.secrets.upstreams.matches(given) {
        true => beats::take(node, req.into_body()),
        false => status(StatusCode::UNAUTHORIZED),
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}
