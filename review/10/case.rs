//! One of two serving groups spoils a few of its streams: after a whole event, line feeds come
//! without end, until the caller closes. The route's time limit is shorter than the consumers'.

#[path = "../common-2/lab.rs"]
mod lab;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lab::*;

const TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long after its time limit a request may be without a final answer.
const SLACK: Duration = Duration::from_millis(500);

/// A consumer abandons a stream after a gap of four times the objective, which is 1 s.
const GAP: Duration = Duration::from_secs(4);

const DEADLINE_MS: &str = "8000";

/// The group in trouble spoils one answer in this many.
const SPOILED_ONE_IN: usize = 33;

const REQUESTS: usize = 1_400;
const REQUEST_GAP: Duration = Duration::from_millis(15);

/// The rule is broken by so many, if they are more than a quarter of those that last longer than
/// the time limit.
const TOO_MANY: usize = 8;

struct Outcome {
    took: Duration,
    is_final: bool,
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::begin();
    let lab = Lab::start(&record, 1, BOUNDS);
    lab.configure(&manifest(7, &[stream_route("/chat/", 2_500, 1_000, true)]));
    let in_trouble: Arc<Mutex<String>> = Arc::default();
    let hosts: Vec<_> = (0..4)
        .map(|_| {
            let in_trouble = Arc::clone(&in_trouble);
            let answers = AtomicUsize::new(0);
            Replica::engine(&lab, "lm", move |me, request, stream| {
                let is_spoiled = *in_trouble.lock().unwrap() == me.id
                    && (answers.fetch_add(1, Ordering::SeqCst) + 1).is_multiple_of(SPOILED_ONE_IN);
                match is_spoiled {
                    true => send_without_end(me, request, stream),
                    false => send_stream(stream, request, 5, Duration::from_millis(8)),
                }
            })
        })
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
    if is_troubled() {
        let head = hosts
            .iter()
            .find(|host| host.is_open())
            .expect("an open group");
        record.line(format!(
            "trouble: {} spoils one answer in {SPOILED_ONE_IN}",
            head.id
        ));
        *in_trouble.lock().unwrap() = head.id.clone();
    }
    let consumers: Vec<_> = (0..REQUESTS)
        .map(|index| {
            thread::sleep(REQUEST_GAP);
            let record = record.clone();
            thread::spawn(move || ask(&record, front, index))
        })
        .collect();
    let outcomes = consumers
        .into_iter()
        .filter_map(|consumer| consumer.join().ok());
    let outcomes: Vec<Outcome> = outcomes.collect();
    for name in lab.ended() {
        record.line(format!("ended by itself: {name}"));
    }
    let long = outcomes.iter().filter(|outcome| TIMEOUT < outcome.took);
    let long: Vec<&Outcome> = long.collect();
    let is_unanswered = |o: &&&Outcome| !o.is_final && TIMEOUT + SLACK < o.took;
    let unanswered = long.iter().filter(is_unanswered).count();
    let whole = outcomes
        .iter()
        .filter(|o| o.is_final && o.took <= TIMEOUT)
        .count();
    record.line(format!(
        "{REQUESTS} requests: {whole} ended in time, {} lasted longer than TimeoutMs, {unanswered} of \
         these had no final answer 0.5 s after it",
        long.len()
    ));
    if whole < REQUESTS / 2 {
        give_up(&record, "too few requests were answered");
    }
    match TOO_MANY <= unanswered && long.len() < 4 * unanswered {
        true => BROKEN,
        false => HELD,
    }
}

/// Asks for a stream, and abandons it as consumers do: after a gap between events, or at the end of
/// its time.
fn ask(record: &Record, front: SocketAddr, index: usize) -> Outcome {
    let id = format!("c{index:04}");
    let began_at = Instant::now();
    let mut outcome = Outcome {
        took: Duration::ZERO,
        is_final: true,
    };
    let Ok(stream) = TcpStream::connect(front) else {
        record.line(format!("{id}: no channel"));
        return outcome;
    };
    let text = request_text("POST", "/chat/1", &chat_headers(&id, DEADLINE_MS), "hi");
    let _ = (&stream).write_all(text.as_bytes());
    let mut reader = AnswerReader::new(stream);
    let (mut events, mut last_event_at) = (0, began_at);
    loop {
        let is_over = reader.read_until(Instant::now() + Duration::from_millis(100));
        let answer = reader.answer();
        let now_events = answer.text().matches("\ndata: ").count();
        if events < now_events {
            (events, last_event_at) = (now_events, Instant::now());
        }
        let has_left = GAP <= last_event_at.elapsed();
        if is_over || has_left {
            outcome.took = began_at.elapsed();
            outcome.is_final = is_over;
            record.line(format!(
                "{id}: {} events={events} bytes={} complete={} left={has_left} after {} ms",
                answer.status,
                reader.received(),
                answer.is_complete,
                outcome.took.as_millis()
            ));
            return outcome;
        }
    }
}

/// Sends one event and then line feeds, until the caller closes.
fn send_without_end(me: &Replica, request: &Request, stream: &mut TcpStream) -> bool {
    let id = request.id();
    let deadline = request.header("Deadline-Ms").unwrap_or_default();
    me.note(format!(
        "{} spoils {id}, which came with Deadline-Ms {deadline}",
        me.id
    ));
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        signature(&id)
    );
    let began_at = Instant::now();
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    is_open &= send_chunk(stream, event(1).as_bytes());
    while is_open {
        thread::sleep(Duration::from_millis(10));
        is_open = send_chunk(stream, &[b'\n'; 256]);
    }
    let ms = began_at.elapsed().as_millis();
    me.note(format!("{}: the caller closed {id} after {ms} ms", me.id));
    false
}
