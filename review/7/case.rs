//! Sound replicas answer on kept connections of consumers with streams that have neither a length
//! nor chunks. The text of an event quotes the first line of an HTTP answer.

#[path = "../common-2/lab.rs"]
mod lab;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lab::*;

/// Events of each stream.
const EVENTS: u64 = 6;

/// The event whose text quotes the first line of an HTTP answer.
const QUOTING: u64 = 1;

const REQUESTS: usize = 12;

/// The rule allows three.
const ALLOWED: usize = 3;

const PATIENCE: Duration = Duration::from_secs(6);

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::begin();
    let lab = Lab::start(&record, 1, BOUNDS);
    lab.configure(&manifest(7, &[stream_route("/chat/", 6_000, 400, true)]));
    let hosts: Vec<_> = (0..4)
        .map(|_| Replica::engine(&lab, "lm", answer))
        .collect();
    wait_until(
        &record,
        "both groups are open",
        Duration::from_secs(25),
        || hosts.iter().filter(|host| host.is_open()).count() == 2,
    );
    lab.wait_until_ready(0);
    let front = lab.front(0);
    wait_until(
        &record,
        "a chat is answered",
        Duration::from_secs(15),
        || {
            let headers = chat_headers("warm", "1500");
            call(
                front,
                "POST",
                "/chat/1",
                &headers,
                "hi",
                Duration::from_secs(2),
            )
            .is_complete
        },
    );
    // All machines have been in touch for the whole of ContactMs.
    thread::sleep(Duration::from_secs(4));
    let mut lost = 0;
    for index in 0..REQUESTS {
        match ask(&record, front, index) {
            Some(true) => {}
            Some(false) => lost += 1,
            None => give_up(&record, "a consumer's channel could not be kept"),
        }
        thread::sleep(Duration::from_millis(300));
    }
    for name in lab.ended() {
        record.line(format!("ended by itself: {name}"));
    }
    for line in lab.log_lines(&entry_name(0), &["[2502]", "[2503]", "[2511]", "rejected"]) {
        record.line(format!("log of entry-0: {line}"));
    }
    record.line(format!(
        "{lost} of {REQUESTS} requests from kept channels got no whole answer, {ALLOWED} are allowed"
    ));
    match ALLOWED < lost {
        true => BROKEN,
        false => HELD,
    }
}

/// Sends two requests on one channel, of which the second has a quoting answer. Returns whether
/// that one came whole. None if the first one didn't, or its channel was not kept.
fn ask(record: &Record, front: std::net::SocketAddr, index: usize) -> Option<bool> {
    let stream = TcpStream::connect(front).ok()?;
    let plain = format!("plain-{index}");
    let first = exchange(&stream, &plain)?;
    record.line(format!(
        "{plain}: {} complete={}",
        first.status, first.is_complete
    ));
    if !first.is_complete || first.header("Connection").is_some_and(|v| v == "close") {
        return None;
    }
    let quote = format!("quote-{index}");
    record.line(format!("{quote}: sent on the same channel"));
    let second = exchange(&stream, &quote).unwrap_or_default();
    let expected: String = (1..=EVENTS).map(|id| text_of(id, true)).collect();
    let is_whole = second.is_complete && second.text() == expected;
    record.line(format!(
        "{quote}: {} complete={} whole={is_whole} body={:?}",
        second.status,
        second.is_complete,
        second.text()
    ));
    Some(is_whole)
}

fn exchange(mut stream: &TcpStream, id: &str) -> Option<Answer> {
    let text = request_text("POST", "/chat/1", &chat_headers(id, "6000"), "hi");
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = AnswerReader::new(stream.try_clone().ok()?);
    reader.read_until(Instant::now() + PATIENCE);
    Some(reader.answer())
}

fn text_of(id: u64, quotes: bool) -> String {
    match quotes && id == QUOTING {
        true => format!("id: {id}\ndata: A server answers with HTTP/1.1 200 OK\n\n"),
        false => event(id),
    }
}

/// A sound replica: it sends all events after the one that is named, and ends the stream.
fn answer(me: &Replica, request: &Request, stream: &mut TcpStream) -> bool {
    let id = request.id();
    let quotes = id.starts_with("quote");
    let after: u64 = request
        .header("Last-Event-Id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let has_chunks = !(quotes && is_troubled());
    let framing = match has_chunks {
        true => "Transfer-Encoding: chunked\r\n",
        false => "Connection: close\r\n",
    };
    me.note(format!(
        "{} runs {id} after event {after}, with chunks: {has_chunks}",
        me.id
    ));
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n{framing}\r\n",
        signature(&id)
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in after + 1..=EVENTS {
        thread::sleep(Duration::from_millis(40));
        let text = text_of(number, quotes);
        let sent = match has_chunks {
            true => send_chunk(stream, text.as_bytes()),
            false => stream.write_all(text.as_bytes()).is_ok(),
        };
        if !sent {
            me.note(format!(
                "{} of {id}: the channel ended before event {number}",
                me.id
            ));
            return false;
        }
    }
    me.note(format!("{} has sent all of {id}", me.id));
    has_chunks && stream.write_all(b"0\r\n\r\n").is_ok()
}
