//! Connections that arrive together, before the loop of the server runs again.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use compio::runtime::Runtime;
use http::Response;

use net::Body;
use net::Bounds;
use net::Server;

/// Shorter than the second after which a dropped handshake is sent again.
const PATIENCE: Duration = Duration::from_millis(500);

#[test]
fn a_burst_up_to_the_bound_connects_while_the_loop_is_busy() {
    let runtime = Runtime::new().unwrap();
    let bounds = Bounds::default();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let answer = |_| async { Response::new(Body::whole("")) };
    let server = runtime.block_on(Server::bind(any, bounds, answer)).unwrap();
    let connect = |_| TcpStream::connect_timeout(&server.addr(), PATIENCE);
    let connected: Vec<_> = (0..bounds.connections)
        .map(connect)
        .take_while(Result::is_ok)
        .collect();
    assert_eq!(connected.len(), bounds.connections);
}
