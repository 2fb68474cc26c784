//! The listener for calls from other processes of the deployment.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;

use memory::ListenerShare;
use net::Body;
use net::Inbound;
use net::ProcessMemory;
use net::RpcMethods;
use net::Server;
use net::ServerLimits;
use net::read_request;

/// The largest accepted call in bytes: an incompressible configuration with its envelope.
const MAX_CALL_BYTES: usize = 12 * 1024 * 1024;

/// How long a call may take to arrive.
const CALL_RECEIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a connection from another process may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The part of other processes in the connections that the machine bears.
const INTERNAL_SHARE: ListenerShare = ListenerShare {
    memory: 40,
    descriptors: 20,
};

/// Listens for calls from other processes.
pub(crate) async fn bind<Context: 'static>(
    addr: SocketAddr,
    methods: RpcMethods<Context>,
    memory: ProcessMemory,
) -> std::io::Result<Server> {
    let bounds = ServerLimits {
        memory,
        share: INTERNAL_SHARE,
        header_timeout: IDLE_TIMEOUT,
        ..ServerLimits::default()
    };
    let methods = Rc::new(methods);
    Server::bind(addr, bounds, move |req| answer(Rc::clone(&methods), req)).await
}

async fn answer<Context: 'static>(
    methods: Rc<RpcMethods<Context>>,
    req: Request<Inbound>,
) -> Response<Body> {
    let body = req.into_body();
    let caller = body.account().clone();
    let bytes = match read_request(body, MAX_CALL_BYTES, CALL_RECEIVE_TIMEOUT).await {
        Ok(bytes) => bytes,
        Err(e) => {
            log::debug!("a call could not be read: {e}");
            return empty_response(e.status());
        }
    };
    match caller
        .hold_answer(methods.handle_request(&bytes).await)
        .await
    {
        Ok(reply) => Response::new(Body::whole(reply)),
        Err(e) => {
            log::debug!("a reply could not be held: {e}");
            empty_response(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}
