//! The internal listener: JSON-RPC for upstreams, operators and other nodes.
//!
//! Each of the three authenticates by a secret of its own, and can call only the
//! methods that are meant for it.

mod announce;
mod config_store;
mod heartbeats;
mod operate;
mod pull;
mod relay;
mod status;

use std::rc::Rc;

use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;

use crate::control;
use crate::entry::bearer_secret;
use crate::node::Node;
use crate::voters;
use memory::ListenerShare;
use net::Body;
use net::Inbound;
use net::RpcMethods;
use net::Server;
use net::ServerLimits;
use net::read_request;
use wire::upstream::HEARTBEATS_PATH;

pub use config_store::ConfigStore;
pub use config_store::restore_config;
pub use config_store::run_config_store;
pub use pull::adopt_config;
pub use pull::pull_from;
pub use pull::run_pull;
pub use relay::PendingRelay;
pub use relay::run_relay;

/// The largest body of a call: a part of a snapshot or a rules file, and its JSON envelope.
const MAX_CALL_BYTES: usize = 8 * 1024 * 1024;

/// The part of other processes in the connections that the machine bears.
const INTERNAL_SHARE: ListenerShare = ListenerShare {
    memory: 30,
    descriptors: 100,
};

/// The methods offered to each kind of caller.
struct MethodSets {
    peers: RpcMethods<Node>,
    upstreams: RpcMethods<Node>,
    operators: RpcMethods<Node>,
}

impl MethodSets {
    fn new(node: &Rc<Node>) -> Self {
        let cx = || Rc::clone(node);
        Self {
            peers: peer_methods(cx()),
            upstreams: announce::methods(RpcMethods::new(cx())),
            operators: voters::operator_methods(operate::methods(RpcMethods::new(cx()))),
        }
    }

    /// The methods that the secret in a request's headers gives access to.
    fn methods_for(&self, node: &Node, headers: &HeaderMap) -> Option<&RpcMethods<Node>> {
        let secrets = &node.settings.secrets;
        let secret = bearer_secret(headers)?;
        if secrets.peers.matches(secret) {
            return Some(&self.peers);
        }
        if secrets.upstreams.matches(secret) {
            return Some(&self.upstreams);
        }
        secrets.operators.matches(secret).then_some(&self.operators)
    }
}

fn peer_methods(node: Rc<Node>) -> RpcMethods<Node> {
    let methods = relay::methods(RpcMethods::new(node));
    let methods = status::methods(pull::methods(methods));
    voters::methods(control::methods(methods))
}

/// Listens for upstreams, operators and other nodes.
pub async fn bind(node: &Rc<Node>) -> std::io::Result<Server> {
    let limits = ServerLimits {
        memory: node.memory.clone(),
        share: INTERNAL_SHARE,
        ..ServerLimits::default()
    };
    let method_sets = Rc::new(MethodSets::new(node));
    let node = Rc::clone(node);
    let addr = node.settings.node.internal_addr;
    Server::bind(addr, limits, move |req| {
        answer(Rc::clone(&node), Rc::clone(&method_sets), req)
    })
    .await
}

async fn answer(
    node: Rc<Node>,
    method_sets: Rc<MethodSets>,
    req: Request<Inbound>,
) -> Response<Body> {
    match req.uri().path() {
        "/metrics" => {
            node.metrics.record_control_bytes(&node.meter);
            node.metrics.record_memory(&node.memory.figures());
            return Response::new(Body::whole(node.metrics.encode()));
        }
        HEARTBEATS_PATH => return serve_heartbeats(node, req),
        "/rpc" => {}
        _ => return empty_response(StatusCode::NOT_FOUND),
    }
    let (head, body) = req.into_parts();
    let Some(methods) = method_sets.methods_for(&node, &head.headers) else {
        return empty_response(StatusCode::UNAUTHORIZED);
    };
    let caller = body.account().clone();
    let time_limit = node.settings.limits.arrival_timeout;
    match read_request(body, MAX_CALL_BYTES, time_limit).await {
        Ok(bytes) => {
            node.meter.add_received_message(bytes.len());
            let reply = methods.handle_request(&bytes).await;
            node.meter.add_sent_message(reply.len());
            match caller.hold_answer(reply).await {
                Ok(reply) => Response::new(Body::whole(reply)),
                Err(_) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            }
        }
        Err(e) => empty_response(e.status()),
    }
}

fn serve_heartbeats(node: Rc<Node>, req: Request<Inbound>) -> Response<Body> {
    let secret = bearer_secret(req.headers()).unwrap_or_default();
    match node.settings.secrets.upstreams.matches(secret) {
        true => heartbeats::accept_heartbeats(node, req.into_body()),
        false => empty_response(StatusCode::UNAUTHORIZED),
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}
