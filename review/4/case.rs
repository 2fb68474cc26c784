//! A replica leaves. The control host that acknowledges it is killed right afterwards. The
//! acknowledged departure must still take effect.

#[path = "../common/mod.rs"]
mod common;

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::*;

const DRAIN_MS: u128 = 2_000;
const CONTACT_MS: u128 = 3_000;

/// How long the killed control host is down.
const DOWN: Duration = Duration::from_millis(3_000);

/// How long the replica that has left still serves.
const SERVES_ON: Duration = Duration::from_millis(11_000);

fn main() {
    open_record("review/4/record.txt");
    limit_time(Duration::from_secs(110));
    let deployment = Arc::new(Deployment::new(3));
    deployment.start_all();
    let route = "\"Name\":\"r-order\",\"Host\":\"a.example\",\"PathPrefix\":\"/order/\",\
                 \"RouteKind\":\"non_idempotent\",\"TimeoutMs\":2500,\"SloMs\":200,\
                 \"Priority\":1,\"MaxAttempts\":2,\"Public\":false,\"Sticky\":false";
    let text = manifest(3, "huvo11a", &[route.to_owned()], "");
    if !deployment.put_manifest(&text, Duration::from_secs(20)) {
        finish(COULD_NOT_RUN, "the manifest was not acknowledged");
    }
    // The times at which requests reached the first replica.
    let reached: Arc<Mutex<Vec<(u128, String)>>> = Arc::default();
    let seen = Arc::clone(&reached);
    let run = move |arrived: &Arrived, output: &mut TcpStream| {
        if arrived.replica.ends_with("-1") {
            let mut seen = seen.lock().unwrap();
            seen.push((elapsed_ms(), arrived.attempt_id()));
        }
        place(arrived, output)
    };
    let run: Arc<Run> = Arc::new(run);
    let replicas: Vec<_> = (1..=3)
        .map(|i| Replica::start(&deployment, "huvo11a", i, Arc::clone(&run)))
        .collect();
    let fronts: Vec<SocketAddr> = (0..3).map(|i| deployment.front(i)).collect();
    let are_served = fronts
        .iter()
        .all(|front| wait_until(Duration::from_secs(15), || order(*front, 0) == 200));
    if !are_served {
        finish(COULD_NOT_RUN, "no order was served");
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(1));
    for front in fronts {
        let (is_over, number) = (Arc::clone(&is_over), Arc::clone(&number));
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                order(front, number.fetch_add(1, Ordering::SeqCst));
                thread::sleep(Duration::from_millis(50));
            }
        });
    }
    thread::sleep(Duration::from_millis(4_500));

    // It never reports that it drains: it only says that it has gone.
    let leaving = &replicas[0];
    leaving.stop_heartbeats();
    thread::sleep(Duration::from_millis(100));
    let follower = (0..3).find(|i| !deployment.log_has(&deployment.controls[*i], "[2300]"));
    let acks = follower.unwrap_or(1);
    let path = format!("/berylbay/replicas/{}", leaving.id);
    let addr = deployment.control_addr(acks);
    let answer = call(addr, "DELETE", &path, &[], b"", Duration::from_secs(1));
    let acked_at = elapsed_ms();
    if answer.status != 200 {
        finish(COULD_NOT_RUN, "the departure was not acknowledged");
    }
    let acking = deployment.controls[acks].clone();
    if has_trouble() {
        deployment.kill(&acking);
    }
    record(format!(
        "{} acknowledged at {acked_at} ms that {} has gone",
        acking.name, leaving.id
    ));
    let began = Instant::now();
    thread::sleep(DOWN);
    if has_trouble() {
        deployment.start(&acking, false);
    }
    thread::sleep(SERVES_ON.saturating_sub(began.elapsed()));
    is_over.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(300));

    // Entry hosts are in touch again `ContactMs` after the killed process was started again.
    let counted_from = match has_trouble() {
        true => acked_at + DOWN.as_millis() + CONTACT_MS + 200,
        false => acked_at + DRAIN_MS,
    };
    let reached = reached.lock().unwrap();
    let late = reached.iter().filter(|(at, _)| counted_from < *at);
    let late: Vec<_> = late.collect();
    for (at, id) in &late {
        record(format!(
            "DRAIN: {id} reached {} {} ms after the ack",
            leaving.id,
            at - acked_at
        ));
    }
    let early = reached.iter().filter(|(at, _)| *at < acked_at).count();
    record(format!(
        "{early} requests reached {} before the ack",
        leaving.id
    ));
    match (early, late.len()) {
        (0, _) => finish(COULD_NOT_RUN, "the replica got no requests before it left"),
        (_, 0) => finish(HELD, "no request reached the replica that had left"),
        (_, n) => finish(
            BROKEN,
            format!("{n} requests reached the replica that had left (DRAIN)"),
        ),
    }
}

fn place(arrived: &Arrived, output: &mut TcpStream) -> io::Result<bool> {
    record(format!("{} runs {}", arrived.replica, arrived.attempt_id()));
    thread::sleep(Duration::from_millis(15));
    output.write_all(arrived.head("Content-Length: 2\r\n").as_bytes())?;
    output.write_all(b"ok")?;
    Ok(true)
}

fn order(front: SocketAddr, number: u64) -> u16 {
    let id = format!("attempt-{number}");
    let headers = [
        ("Host", "a.example"),
        ("Attempt-Id", id.as_str()),
        ("Deadline-Ms", "2500"),
    ];
    let answer = call(
        front,
        "POST",
        "/order/1",
        &headers,
        b"two",
        Duration::from_secs(3),
    );
    record(format!("{id} at {front}: {}", answer.status_text()));
    answer.status
}
