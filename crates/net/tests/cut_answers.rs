//! Answers that end within their head or body are no whole answers, wherever they are cut.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use socket2::SockRef;

use net::Connection;
use net::RequestError;
use net::read_body;

const TIMEOUT: Duration = Duration::from_secs(5);
const BODY: &str = "the whole body";

/// How long what was written before a reset takes to be read.
const READ_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
}

/// An answer, and where its head ends.
#[derive(Clone, Debug)]
struct Whole {
    text: String,
    head_len: usize,
    /// Nothing but the end of the connection tells where the answer ends.
    is_unframed: bool,
}

fn answers() -> Vec<Whole> {
    let befores = [
        "",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
    ];
    let len = BODY.len();
    let framings = [
        (format!("Content-Length: {len}\r\n"), BODY.to_owned()),
        (
            "Transfer-Encoding: chunked\r\n".to_owned(),
            format!("{len:x}\r\n{BODY}\r\n0\r\n\r\n"),
        ),
        (String::new(), BODY.to_owned()),
    ];
    let mut answers = Vec::new();
    for before in befores {
        for (framing, body) in &framings {
            let head = format!("{before}HTTP/1.1 200 OK\r\nX-Id: x\r\n{framing}\r\n");
            answers.push(Whole {
                head_len: head.len(),
                text: head + body,
                is_unframed: framing.is_empty(),
            });
        }
    }
    answers
}

/// Answers each connection's first request with a short whole answer and its second one with
/// `text`, or the first one with `text` on a new connection.
fn serve(mut stream: TcpStream, text: &str, is_kept: bool, end: End) {
    let _ = stream.set_nodelay(true);
    if is_kept {
        read_head(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    read_head(&mut stream);
    let _ = stream.write_all(text.as_bytes());
    if end == End::Reset {
        thread::sleep(READ_TIME);
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|len| len == 1) {
        head.push(byte[0]);
    }
}

fn request() -> Request<Full<Bytes>> {
    Request::new(Full::default())
}

/// The body that a request got, or None if that can be seen to be no whole answer.
async fn body_of(connection: &mut Connection) -> Result<Option<Bytes>, RequestError> {
    let response = connection.request(request()).await?;
    let body = read_body(response.into_body(), 1_000, TIMEOUT).await;
    Ok(body.ok())
}

// Callers got a 200 with an empty or short body that was framed as whole.
#[test]
fn an_answer_that_is_cut_at_any_byte_is_not_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let runtime = compio::runtime::Runtime::new().unwrap();
    for whole in answers() {
        for is_kept in [false, true] {
            for end in [End::Closed, End::Reset] {
                for at in 0..whole.text.len() {
                    let text = whole.text[..at].to_owned();
                    let listener = listener.try_clone().unwrap();
                    let served = thread::spawn(move || {
                        let (stream, _) = listener.accept().unwrap();
                        serve(stream, &text, is_kept, end);
                    });
                    let body = runtime.block_on(async {
                        let mut connection = Connection::connect(addr, TIMEOUT).await.unwrap();
                        if is_kept {
                            let empty = body_of(&mut connection).await;
                            assert_eq!(empty, Ok(Some(Bytes::new())));
                        }
                        body_of(&mut connection).await
                    });
                    served.join().unwrap();
                    let case = format!("{whole:?} {is_kept} {end:?}, {at} bytes: {body:?}");
                    match body {
                        // Only the end of the connection says where such an answer ends.
                        Ok(Some(body)) if whole.is_unframed && end == End::Closed => {
                            let sent = &whole.text[whole.head_len.min(at)..at];
                            assert_eq!(body, sent.as_bytes(), "{case}");
                            assert!(whole.head_len <= at, "{case}");
                        }
                        // The connection may end before the request can be written.
                        Ok(None) | Err(RequestError::Lost | RequestError::Unreadable) => {}
                        Ok(Some(_)) | Err(RequestError::NotSent) => panic!("{case}"),
                    }
                }
            }
        }
    }
}
