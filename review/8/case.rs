//! A manifest adds a route for long documents. Its requests ask for a model that is otherwise idle,
//! and sound replicas read each prompt for two seconds before they make the first token.

#[path = "../common-2/lab.rs"]
mod lab;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lab::*;

/// Requests on each of the two routes.
const REQUESTS: usize = 24;

/// Time between two requests on one route.
const GAP: Duration = Duration::from_secs(1);

/// Prompt tokens of a chat, and of a document.
const CHAT_TOKENS: u64 = 714;
const DOCUMENT_TOKENS: u64 = 60_000;

/// As in the manifest: `read_per_s`, and `pairs_per_m` in ms for a million pairs of a token and any
/// earlier one.
const READ_PER_S: f64 = 45_900.0;
const PAIRS_PER_M: f64 = 0.433;

/// Tokens of an answer, tokens of an event, and the time of a step.
const ANSWER_TOKENS: u64 = 50;
const EVENT_TOKENS: u64 = 5;
const STEP_MS: f64 = 7.8;

const DEADLINE_MS: &str = "8000";

/// The rule speaks of so many requests, and of this part of the share that is served elsewhere.
const MIN_REQUESTS: usize = 20;
const MIN_PART: f64 = 0.25;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::begin();
    let lab = Lab::start(&record, 1, BOUNDS);
    let chat = stream_route("/chat/", 6_000, 400, true);
    let documents = stream_route("/documents/", 8_000, 4_000, true);
    lab.configure(&with_two_models(&manifest(7, std::slice::from_ref(&chat))));
    let hosts: Vec<_> = (0..8)
        .map(|_| Replica::engine(&lab, "lm", answer))
        .collect();
    wait_until(
        &record,
        "four groups are open",
        Duration::from_secs(30),
        || hosts.iter().filter(|host| host.is_open()).count() == 4,
    );
    lab.wait_until_ready(0);
    let front = lab.front(0);
    for model in ["slim", "wide"] {
        wait_until(&record, "a model answers", Duration::from_secs(15), || {
            ask(
                &record,
                front,
                "/chat/1",
                &format!("warm-{model}"),
                model,
                100,
            )
        });
    }
    lab.configure(&with_two_models(&manifest(8, &[chat, documents])));
    // The manifest is in force (`ConfigApplyMs`), and all machines have been in touch for the whole
    // of ContactMs.
    thread::sleep(Duration::from_secs(5));
    let tokens = match is_troubled() {
        true => DOCUMENT_TOKENS,
        false => CHAT_TOKENS,
    };
    let first_ms = reading_time(tokens).as_millis();
    record.line(format!(
        "a prompt of {tokens} tokens is read in {first_ms} ms"
    ));
    let mut consumers = Vec::new();
    for index in 0..REQUESTS {
        for (path, model, tokens) in [
            ("/chat/1", "slim", CHAT_TOKENS),
            ("/documents/1", "wide", tokens),
        ] {
            let (record, id) = (record.clone(), format!("{model}-{index}"));
            let consumer = thread::spawn(move || ask(&record, front, path, &id, model, tokens));
            consumers.push((path, consumer));
        }
        thread::sleep(GAP);
    }
    let (mut chats, mut documents) = (0, 0);
    for (path, consumer) in consumers {
        let is_served = consumer.join().unwrap_or(false);
        match path {
            "/chat/1" => chats += usize::from(is_served),
            _ => documents += usize::from(is_served),
        }
    }
    for name in lab.ended() {
        record.line(format!("ended by itself: {name}"));
    }
    for line in lab.log_lines(&entry_name(0), &["[2502]"]).iter().take(6) {
        record.line(format!("log of entry-0: {line}"));
    }
    record.line(format!(
        "first route: {chats} of {REQUESTS} served; route that was added later: {documents} of \
         {REQUESTS}"
    ));
    if chats < REQUESTS / 2 {
        give_up(&record, "the first route was not served");
    }
    let is_broken = MIN_REQUESTS <= REQUESTS && (documents as f64) < MIN_PART * chats as f64;
    match is_broken {
        true => BROKEN,
        false => HELD,
    }
}

/// Adds a second model of the same size. Both have half of the work.
fn with_two_models(manifest: &str) -> String {
    let wide = "\"Models\":[{\"Name\":\"wide\",\"size\":2,\"Share\":0.5,\"pace\":1.0,\"LoadS\":0.2,\
        \"WarmupS\":0.1},";
    let manifest = manifest.replace("\"Share\":1.0", "\"Share\":0.5");
    manifest.replace("\"Models\":[", wide)
}

/// How long an idle replica reads a prompt.
fn reading_time(tokens: u64) -> Duration {
    let tokens = tokens as f64;
    let million_pairs = tokens * tokens / 2.0 / 1e6;
    Duration::from_secs_f64(tokens / READ_PER_S + million_pairs * PAIRS_PER_M / 1_000.0)
}

/// Asks for a stream. Returns whether it came whole.
fn ask(record: &Record, front: SocketAddr, path: &str, id: &str, model: &str, tokens: u64) -> bool {
    let usage = format!("{tokens},{ANSWER_TOKENS}");
    let headers = [
        ("Attempt-Id", id),
        ("Authorization", KEY),
        ("Model", model),
        ("Token-Usage", usage.as_str()),
        ("Deadline-Ms", DEADLINE_MS),
    ];
    let began_at = Instant::now();
    let answer = call(front, "POST", path, &headers, "?", Duration::from_secs(9));
    record.line(format!(
        "{id} on {path}: {} complete={} after {} ms",
        answer.status,
        answer.is_complete,
        began_at.elapsed().as_millis()
    ));
    answer.status == 200 && answer.is_complete
}

/// A sound replica that has nothing else to do.
fn answer(me: &Replica, request: &Request, stream: &mut TcpStream) -> bool {
    let id = request.id();
    let usage = request.header("Token-Usage").unwrap_or_default();
    let tokens = usage.split(',').next().and_then(|text| text.parse().ok());
    let after: u64 = request
        .header("Last-Event-Id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let reading = reading_time(tokens.unwrap_or(0));
    me.note(format!(
        "{} reads the prompt of {id} for {} ms",
        me.id,
        reading.as_millis()
    ));
    thread::sleep(reading);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        signature(&id)
    );
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    for number in after + 1..=ANSWER_TOKENS / EVENT_TOKENS {
        thread::sleep(Duration::from_secs_f64(
            EVENT_TOKENS as f64 * STEP_MS / 1_000.0,
        ));
        is_open = is_open && send_chunk(stream, event(number).as_bytes());
    }
    is_open = is_open && stream.write_all(b"0\r\n\r\n").is_ok();
    me.note(format!(
        "{} made the answer to {id}; its channel was open: {is_open}",
        me.id
    ));
    is_open
}
