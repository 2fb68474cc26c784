//! An entry comes from another writer: it names a service that is in no manifest, at the address of
//! a replica. That replica then drains, is acknowledged, and leaves.

#[path = "../common-3/kit.rs"]
mod kit;

use kit::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// `DrainMs`.
const DRAIN: Duration = Duration::from_millis(2_000);

/// From the entry of the other writer to the moment at which the replica drains.
const ODD_BEFORE: Duration = Duration::from_millis(3_000);

/// How long the replica serves on after the ack: `DrainMs`, "and a little longer (at times many
/// seconds)".
const SERVES_ON: Duration = Duration::from_millis(5_000);

/// How long a replica works on an order.
const WORK: Duration = Duration::from_millis(100);

/// Time between two orders of a consumer.
const ORDER_INTERVAL: Duration = Duration::from_millis(50);

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let record = Record::create(folder.as_ref());
    let code = run(&record).unwrap_or_else(|e| not_run(&record, &e.to_string()));
    std::process::exit(code);
}

fn run(record: &Record) -> std::io::Result<i32> {
    let deployment = Deployment::start(
        Plan {
            controls: 3,
            entries: 2,
        },
        record,
    )?;
    if deployment
        .put_config(&manifest(1), &[1, 2, 3], Duration::from_secs(20))
        .is_none()
    {
        return Ok(not_run(record, "the manifest was not acknowledged"));
    }
    let controls: Vec<_> = (1..=3).map(|number| deployment.control(number)).collect();
    let announcing = Announcing {
        controls: controls.clone(),
        delay: Duration::ZERO,
    };
    // When the replica that leaves got which request.
    let arrivals: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let mut replicas = Vec::new();
    for number in 0..3u8 {
        let addr = std::net::SocketAddrV4::new(deployment.ip(200 + number), deployment.base_port());
        let (arrivals, record_of) = (Arc::clone(&arrivals), record.clone());
        let behaviour: Behaviour = Arc::new(move |boot: &Boot, request: &Request| {
            if number == 0 {
                record_of.line(format!(
                    "{} got {} from {}",
                    boot.id,
                    request.id(),
                    request.from
                ));
                arrivals
                    .lock()
                    .unwrap()
                    .push((request.id().to_owned(), request.at));
            }
            thread::sleep(WORK);
            Reaction::Answer(signed(
                boot,
                request,
                "200 OK",
                "",
                "{\"order\":\"placed\"}",
            ))
        });
        replicas.push(Replica::start(addr, announcing.clone(), record, behaviour)?);
    }
    if !(1..=2).all(|entry| deployment.wait_ready(entry, Duration::from_secs(20))) {
        return Ok(not_run(record, "an entry host was not ready"));
    }
    thread::sleep(Duration::from_secs(3));

    let results: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let mut consumers = Vec::new();
    for number in 0..8u8 {
        let entry = deployment.entry(1 + number % 2);
        let (results, is_over) = (Arc::clone(&results), Arc::clone(&is_over));
        let (served, record) = (Arc::clone(&served), record.clone());
        consumers.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let id = new_id();
                let answer = consume(entry, "POST", "/order/1", &id, b"{\"item\":1}", 2_500);
                let result = match &answer {
                    Ok(answer) => answer.status.to_string(),
                    Err(e) => format!("no answer: {e}"),
                };
                served.fetch_add(usize::from(result == "200"), Ordering::SeqCst);
                record.line(format!("order {id} at {entry}: {result}"));
                results.lock().unwrap().insert(id, result);
                thread::sleep(ORDER_INTERVAL);
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let served_before = served.load(Ordering::SeqCst);

    let leaving = &replicas[0];
    let boot = leaving.current();
    if has_trouble() {
        odd_entry(record, controls[0], &boot);
    }
    thread::sleep(ODD_BEFORE);
    record.say(format!("{} drains", boot.id));
    boot.is_leaving.store(true, Ordering::SeqCst);
    let end = Instant::now() + Duration::from_secs(10);
    while boot.drain_acked_at.lock().unwrap().is_none() && Instant::now() < end {
        thread::sleep(ms(5));
    }
    let Some(acked_at) = *boot.drain_acked_at.lock().unwrap() else {
        return Ok(not_run(record, "the drain was not acknowledged"));
    };
    record.say("a control host acknowledged that");
    thread::sleep(SERVES_ON);
    leaving.delete();
    leaving.exit();
    record.say(format!("{} is gone", boot.id));
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    if served_before < 100 {
        return Ok(not_run(record, "the deployment doesn't serve"));
    }
    let (arrivals, results) = (arrivals.lock().unwrap(), results.lock().unwrap());
    let after = |at: &Instant| at.checked_duration_since(acked_at).unwrap_or_default();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|(_, at)| DRAIN < after(at))
        .collect();
    let latest = late
        .iter()
        .map(|(_, at)| after(at))
        .max()
        .unwrap_or_default();
    let lost = late
        .iter()
        .filter(|(id, _)| results.get(id).is_none_or(|result| result != "200"));
    record.say(format!(
        "requests that reached the replica later than {} ms after the ack: {}, the last {} ms after; \
         {} of them were not answered with success",
        DRAIN.as_millis(),
        late.len(),
        latest.as_millis(),
        lost.count(),
    ));
    let is_broken = !late.is_empty();
    record.say(if is_broken { "BROKEN" } else { "held" });
    Ok(if is_broken { BROKEN } else { HELD })
}

/// Sends one entry of another writer, with an id of its own.
fn odd_entry(record: &Record, control: std::net::SocketAddrV4, boot: &Boot) {
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis());
    let body = format!(
        "{{\"Service\":\"no-such-service\",\"Address\":\"{}\",\"Zone\":\"z\",\"Version\":\"v1\",\
         \"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\"SeqNo\":1,\"born\":{born}}}",
        boot.addr,
    );
    let answer = call(
        control,
        "PUT",
        "/berylbay/replicas/i-other",
        &[],
        body.as_bytes(),
        ms(1_000),
    );
    let status = answer.map_or(0, |answer| answer.status);
    record.say(format!(
        "an entry of another writer at {}: {status}",
        boot.addr
    ));
}
