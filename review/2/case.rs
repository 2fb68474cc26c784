//! A resumable stream whose replica spoils one event. Events that came whole right before it, in
//! the same piece of bytes, must still reach the consumer.

#[path = "../common/mod.rs"]
mod common;

use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use common::*;

/// Events of each stream.
const EVENTS: u64 = 20;

/// Streams in all.
const STREAMS: u64 = 80;

/// The replica that garbles spoils one in this many of its answers: 1 in 20, x = 0.05.
const SPOILED: u64 = 20;

/// The event that is spoiled. It comes together with the two before it.
const SPOILED_EVENT: u64 = 9;

fn main() {
    open_record("review/2/record.txt");
    limit_time(Duration::from_secs(110));
    let trouble = has_trouble();
    let deployment = Deployment::new(1);
    deployment.start_all();
    let route = "\"Name\":\"r-chat\",\"Host\":\"a.example\",\"PathPrefix\":\"/chat/\",\
                 \"RouteKind\":\"streaming\",\"TimeoutMs\":8000,\"SloMs\":500,\"Priority\":1,\
                 \"MaxAttempts\":2,\"Public\":false,\"Sticky\":false,\"Resumable\":true,\
                 \"ItlTargetMs\":300";
    let text = manifest(3, "huvo11a", &[route.to_owned()], "");
    if !deployment.put_manifest(&text, Duration::from_secs(20)) {
        finish(COULD_NOT_RUN, "the manifest was not acknowledged");
    }
    // Of two replicas, one garbles: share 0.5.
    let _sound = Replica::start(&deployment, "huvo11a", 1, Arc::new(stream_soundly));
    let answers = AtomicU64::new(0);
    let garbling = move |arrived: &Arrived, output: &mut TcpStream| {
        let number = answers.fetch_add(1, Ordering::SeqCst);
        let spoils = trouble && number % SPOILED == SPOILED / 2;
        stream(arrived, output, spoils)
    };
    let _garbling = Replica::start(&deployment, "huvo11a", 2, Arc::new(garbling));
    let front = deployment.front(0);
    let is_served = wait_until(Duration::from_secs(15), || {
        consume(front, 0).is_some_and(|ids| ids.len() as u64 == EVENTS)
    });
    if !is_served {
        finish(COULD_NOT_RUN, "no stream was served");
    }
    thread::sleep(HEARTBEAT * 2);

    let mut gaps = 0;
    for number in 1..=STREAMS {
        let Some(ids) = consume(front, number) else {
            continue;
        };
        let whole: Vec<u64> = (1..=EVENTS).collect();
        if ids != whole {
            gaps += 1;
            record(format!(
                "ORDER: stream {number} ended as complete with the events {ids:?}"
            ));
        }
    }
    match gaps {
        0 => finish(HELD, format!("{STREAMS} streams, none with a gap")),
        _ => finish(
            BROKEN,
            format!("{gaps} of {STREAMS} streams lack events (ORDER)"),
        ),
    }
}

fn stream_soundly(arrived: &Arrived, output: &mut TcpStream) -> io::Result<bool> {
    stream(arrived, output, false)
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Sends the events after the one that the request names, three at a time.
fn stream(arrived: &Arrived, output: &mut TcpStream, spoils: bool) -> io::Result<bool> {
    let after = arrived.header("last-event-id");
    let after: u64 = after.and_then(|after| after.parse().ok()).unwrap_or(0);
    record(format!(
        "{} runs {} after event {after}{}",
        arrived.replica,
        arrived.attempt_id(),
        if spoils { ", and spoils an event" } else { "" },
    ));
    let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    output.write_all(arrived.head(more).as_bytes())?;
    let ids: Vec<u64> = (after + 1..=EVENTS).collect();
    for three in ids.chunks(3) {
        let mut text = String::new();
        for id in three {
            match spoils && *id == SPOILED_EVENT {
                // The number of the event is wrong.
                true => text += &event(*id + 4),
                false => text += &event(*id),
            }
        }
        write!(output, "{:x}\r\n{text}\r\n", text.len())?;
        thread::sleep(Duration::from_millis(15));
    }
    output.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Sends one request. The ids of the events that came, if the stream ended as complete.
fn consume(front: std::net::SocketAddr, number: u64) -> Option<Vec<u64>> {
    let id = format!("attempt-{number}");
    let headers = [
        ("Host", "a.example"),
        ("Attempt-Id", id.as_str()),
        ("Deadline-Ms", "8000"),
    ];
    let answer = call(
        front,
        "POST",
        "/chat/1",
        &headers,
        b"hello",
        Duration::from_secs(9),
    );
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let ids = body.lines().filter_map(|line| line.strip_prefix("id:"));
    let ids: Vec<u64> = ids.filter_map(|id| id.trim().parse().ok()).collect();
    record(format!(
        "{id}: {}, {}, {} events",
        answer.status_text(),
        if answer.is_whole {
            "complete"
        } else {
            "broken off"
        },
        ids.len(),
    ));
    (answer.status == 200 && answer.is_whole).then_some(ids)
}
