//! Bodies that are broken off after some of their frames.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use compio::runtime::Runtime;
use futures_util::stream;
use http::Response;

use net::Body;
use net::BodyAborted;
use net::Server;
use net::ServerLimits;

/// A body of `frames` frames of `size` bytes each that is then broken off.
fn aborted_body(frames: usize, size: usize) -> Body {
    let frames = (0..frames).map(move |_| Ok(Bytes::from(vec![b'x'; size])));
    let frames = frames.chain([Err(BodyAborted)]);
    Body::Driven(Box::pin(stream::iter(frames)))
}

/// Reads what the server sends for one request until the connection ends.
fn read_response(addr: SocketAddr, pause: Duration) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    thread::sleep(pause);
    let mut bytes = Vec::new();
    // A reset after the last byte would be an end as well.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8(bytes).unwrap()
}

/// Serves one request whose response is broken off after its frames, and returns what comes.
fn broken_response(frames: usize, size: usize, pause: Duration) -> String {
    let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
    Runtime::new().unwrap().block_on(async {
        let answer = move |_| async move { Response::new(aborted_body(frames, size)) };
        let server = Server::bind(any_port, ServerLimits::default(), answer)
            .await
            .unwrap();
        let addr = server.addr();
        let caller = compio::runtime::spawn_blocking(move || read_response(addr, pause));
        caller.await.unwrap()
    })
}

fn assert_has_all_frames_and_no_end(response: &str, frames: usize, size: usize) {
    let body = response.split_once("\r\n\r\n").map(|(_, body)| body);
    let body = body.expect("the head of the response comes");
    let data = body.bytes().filter(|byte| *byte == b'x').count();
    assert_eq!(data, frames * size);
    assert!(!body.ends_with("0\r\n\r\n"), "it must not look complete");
}

/// Guards against the loss of frames that the server had taken when the body was broken off.
#[test]
fn frames_before_an_abort_reach_the_caller() {
    for frames in [1, 3, 20] {
        let response = broken_response(frames, 100, Duration::ZERO);
        assert_has_all_frames_and_no_end(&response, frames, 100);
    }
}

/// Guards against the same loss when the caller reads slowly.
#[test]
fn frames_before_an_abort_reach_a_slow_caller() {
    let (frames, size) = (300, 100_000);
    let response = broken_response(frames, size, Duration::from_millis(300));
    assert_has_all_frames_and_no_end(&response, frames, size);
}
