//! A machine of the core is replaced by an empty one at another address, by plan: the new one starts
//! first, then the old one is stopped. `CatchUpS` after that, another machine of the core loses its
//! disk, right after it acknowledged a manifest. The operator reads the manifest back.
//!
//! `HOW=sudden` removes the machine without SIGTERM, and its successor starts a second later. The disk
//! is lost `CatchUpS` after that start. `WAIT_MS` sets another time for the planned case.

#[path = "../common-3/kit.rs"]
mod kit;

use kit::*;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// From a sudden removal to the start of the successor (`replace_core`, `x` = 1).
const SUCCESSOR_AFTER: Duration = Duration::from_millis(1_000);

/// `CatchUpS`, and a little more: from then on the removed machine no longer counts as lost.
const CATCH_UP: Duration = Duration::from_millis(4_100);

/// How long the machine that loses its disk is down (`after_ack_wipe`, `for_s` = 1).
const DOWN: Duration = Duration::from_millis(1_000);

/// `RecoveryS`: from then on requests have to be served again.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long the operator then tries to read the manifest back.
const READ_BACK: Duration = Duration::from_secs(15);

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let record = Record::create(folder.as_ref());
    let code = run(&record).unwrap_or_else(|e| not_run(&record, &e.to_string()));
    std::process::exit(code);
}

fn run(record: &Record) -> std::io::Result<i32> {
    let mut deployment = Deployment::start(
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
        return Ok(not_run(record, "the first manifest was not acknowledged"));
    }
    let controls: Vec<_> = (1..=3).map(|number| deployment.control(number)).collect();
    let announcing = Announcing {
        controls,
        delay: Duration::ZERO,
    };
    let addr = std::net::SocketAddrV4::new(deployment.ip(200), deployment.base_port());
    let _replica = Replica::start(
        addr,
        announcing,
        record,
        Arc::new(|boot: &Boot, request: &Request| {
            Reaction::Answer(signed(boot, request, "200 OK", "", "{}"))
        }),
    )?;
    if !(1..=2).all(|entry| deployment.wait_ready(entry, Duration::from_secs(20))) {
        return Ok(not_run(record, "an entry host was not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let before = serve(&deployment, record, 40);
    record.say(format!("before: {before} of 40 requests are served"));
    if before < 36
        || deployment
            .put_config(&manifest(2), &[1, 2, 3], ms(4_000))
            .is_none()
    {
        return Ok(not_run(record, "the deployment doesn't serve"));
    }
    record.line("manifest 2 is acknowledged");

    // The machine that acted last is removed, and its successor comes.
    let Some(removed) = deployment.leader(&[1, 2, 3]) else {
        return Ok(not_run(record, "nobody leads"));
    };
    let mut nodes: Vec<u8> = (1..=3).collect();
    let name = format!("control-{removed}");
    if !has_trouble() {
        thread::sleep(SUCCESSOR_AFTER + CATCH_UP);
    } else if std::env::var("HOW").is_ok_and(|how| how == "sudden") {
        record.say(format!("{name} is removed for good"));
        deployment.kill(&name);
        thread::sleep(SUCCESSOR_AFTER);
        deployment.start_control(4, false)?;
        thread::sleep(CATCH_UP);
    } else {
        record.say("control-4 is added");
        deployment.start_control(4, false)?;
        thread::sleep(CATCH_UP);
        record.say(format!("{name} is stopped and removed for good"));
        deployment.terminate(&name);
        thread::sleep(wait_after_planned());
    }
    if has_trouble() {
        nodes.retain(|number| *number != removed);
        nodes.push(4);
    }

    // Another machine of the core loses its disk, right after its ack.
    let asked: Vec<u8> = nodes
        .iter()
        .copied()
        .filter(|number| *number <= 3)
        .collect();
    let Some(acked) = deployment.put_config(&manifest(3), &asked, ms(4_000)) else {
        return Ok(not_run(record, "manifest 3 was not acknowledged"));
    };
    record.say(format!("manifest 3 is acknowledged by control-{acked}"));
    if has_trouble() {
        let name = format!("control-{acked}");
        deployment.kill(&name);
        deployment.wipe(&name);
        thread::sleep(DOWN);
        deployment.start_control(acked, false)?;
        record.say(format!("{name} is back with an empty disk"));
    }
    thread::sleep(RECOVERY);

    let after = serve(&deployment, record, 40);
    record.say(format!(
        "{} s later: {after} of 40 requests are served",
        RECOVERY.as_secs()
    ));
    let end = Instant::now() + READ_BACK;
    let mut newest = None;
    let mut answers = std::collections::BTreeMap::new();
    while Instant::now() < end {
        for number in &nodes {
            let (status, version) = deployment.read_config(*number);
            *answers.entry((*number, status)).or_insert(0u32) += 1;
            newest = newest.max(version);
        }
        if newest == Some(3) {
            break;
        }
        thread::sleep(ms(500));
    }
    for ((number, status), count) in &answers {
        record.line(format!("control-{number}: {count} reads answered {status}"));
    }
    for number in &nodes {
        let is_running = deployment.is_running(&format!("control-{number}"));
        record.line(format!("control-{number} runs: {is_running}"));
    }
    let accepts = deployment
        .put_config(&manifest(4), &nodes, ms(4_000))
        .is_some();
    record.say(format!(
        "the newest manifest read back: {newest:?}; a further one is acknowledged: {accepts}"
    ));
    let is_lost = newest != Some(3) || after < 10;
    record.say(if is_lost { "BROKEN" } else { "held" });
    Ok(if is_lost { BROKEN } else { HELD })
}

/// How long after the end of a machine that was stopped by plan the other one loses its disk.
fn wait_after_planned() -> Duration {
    let millis = std::env::var("WAIT_MS")
        .ok()
        .and_then(|text| text.parse().ok());
    millis.map_or(CATCH_UP, ms)
}

/// How many of some requests are served.
fn serve(deployment: &Deployment, record: &Record, count: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        let entry = deployment.entry(1 + (number % 2) as u8);
        let path = format!("/stock/{number}");
        let answer = consume(entry, "GET", &path, &new_id(), b"", 2_500);
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        record.line(format!("GET {path} at {entry}: {status}"));
        served += usize::from(status == 200);
        thread::sleep(ms(50));
    }
    served
}
