//! Tests that the checks find each violated guarantee, on hand-made records.

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use base::NodeId;
use harness::expected_text;
use soak::CallOutcome;
use soak::Chat;
use soak::ClusterSize;
use soak::Delivery;
use soak::Fault;
use soak::Finding;
use soak::KeyedCall;
use soak::Links;
use soak::Plan;
use soak::Record;
use soak::VersionSample;
use soak::check;

const ONE: NodeId = NodeId(1);
const TWO: NodeId = NodeId(2);

/// A record of one call with these outcomes that its service ran `runs` times.
fn record_of_call(outcomes: &[CallOutcome], runs: u64) -> Record {
    let key = "a".to_owned();
    let service = "orders".to_owned();
    let runs_by_key = match runs {
        0 => BTreeMap::new(),
        runs => BTreeMap::from([(key.clone(), runs)]),
    };
    Record {
        runs: BTreeMap::from([(service.clone(), runs_by_key)]),
        keyed_calls: vec![KeyedCall {
            service,
            key,
            outcomes: outcomes.to_vec(),
        }],
        ..Record::default()
    }
}

fn findings_of(record: &Record) -> Vec<&'static str> {
    let kind = |finding: Finding| match finding {
        Finding::RanMoreThanOnce { .. } => "ran more than once",
        Finding::ReportedRunDidNotRun { .. } => "reported run did not run",
        Finding::RefusedCallRan { .. } => "refused call ran",
        Finding::WrongText { .. } => "wrong text",
        Finding::VersionWentBack { .. } => "version went back",
        Finding::AcceptedVersionLost { .. } => "accepted version lost",
        Finding::DoesNotServe { .. } => "does not serve",
        Finding::ExitedUnexpectedly { .. } => "exited unexpectedly",
    };
    check(record).into_iter().map(kind).collect()
}

#[test]
fn what_was_said_of_an_order_is_held_against_its_service() {
    assert_eq!(
        findings_of(&record_of_call(&[CallOutcome::Ran], 1)),
        [""; 0]
    );
    assert_eq!(
        findings_of(&record_of_call(
            &[CallOutcome::NoReply, CallOutcome::Unknown],
            1
        )),
        [""; 0]
    );
    assert_eq!(
        findings_of(&record_of_call(
            &[CallOutcome::DidNotRun, CallOutcome::DidNotRun],
            0
        )),
        [""; 0]
    );
    assert_eq!(
        findings_of(&record_of_call(
            &[CallOutcome::NoReply, CallOutcome::Ran],
            2
        )),
        ["ran more than once"]
    );
    assert_eq!(
        findings_of(&record_of_call(&[CallOutcome::Ran], 0)),
        ["reported run did not run"]
    );
    assert_eq!(
        findings_of(&record_of_call(&[CallOutcome::DidNotRun], 1)),
        ["refused call ran"]
    );
}

#[test]
fn a_stream_may_break_off_but_not_hold_anything_else() {
    let chat = |text: String, is_done| Record {
        chats: vec![Chat {
            prompt: "tale".to_owned(),
            tokens: 4,
            text,
            is_done,
        }],
        ..Record::default()
    };
    assert_eq!(findings_of(&chat(expected_text("tale", 4), true)), [""; 0]);
    assert_eq!(findings_of(&chat(expected_text("tale", 2), false)), [""; 0]);
    assert_eq!(
        findings_of(&chat(expected_text("tale", 2), true)),
        ["wrong text"]
    );
    assert_eq!(
        findings_of(&chat(expected_text("other", 4), true)),
        ["wrong text"]
    );
}

#[test]
fn a_version_goes_back_only_with_a_new_life_and_an_accepted_one_is_kept() {
    let sample = |incarnation, version| VersionSample {
        node: ONE,
        incarnation,
        version,
    };
    let record = |second| Record {
        version_samples: vec![sample(0, 3), second],
        accepted: 3,
        final_versions: BTreeMap::from([(ONE, 3)]),
        ..Record::default()
    };
    assert_eq!(findings_of(&record(sample(0, 4))), [""; 0]);
    assert_eq!(findings_of(&record(sample(1, 2))), [""; 0]);
    assert_eq!(findings_of(&record(sample(0, 2))), ["version went back"]);
    let mut record = record(sample(0, 3));
    record.final_versions.insert(TWO, 2);
    assert_eq!(findings_of(&record), ["accepted version lost"]);
}

#[test]
fn a_seed_gives_one_plan_and_at_most_one_disk_is_wiped() {
    for seed in 0..200 {
        let span = Duration::from_secs(60);
        let plan = Plan::generate(seed, ClusterSize::default(), span);
        assert_eq!(plan, Plan::generate(seed, ClusterSize::default(), span));
        let is_wipe = |fault| matches!(fault, Fault::Wipe(_));
        let wipes = plan
            .faults
            .iter()
            .filter(|scheduled| is_wipe(scheduled.fault));
        assert!(wipes.count() <= 1, "seed {seed}");
    }
}

#[test]
fn a_link_passes_loses_and_resets_what_is_sent() {
    let far = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut links = Links::default();
    let addr = links.bind(ONE, TWO, far.local_addr().unwrap()).unwrap();
    let mut near = TcpStream::connect(addr).unwrap();
    let (mut far, _) = far.accept().unwrap();
    far.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    near.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut buf = [0; 5];
    near.write_all(b"first").unwrap();
    far.read_exact(&mut buf).unwrap();
    assert_eq!(&buf, b"first");

    // The fault applies to what the accepting side sends, whichever side opened the connection.
    links.set(0, TWO, ONE, Delivery::Drop);
    far.write_all(b"gone!").unwrap();
    std::thread::sleep(Duration::from_millis(300));
    links.clear(0);
    far.write_all(b"again").unwrap();
    near.read_exact(&mut buf).unwrap();
    assert_eq!(&buf, b"again");

    links.set(1, ONE, TWO, Delivery::Reset);
    near.write_all(b"reset").unwrap();
    let ended = near.read(&mut buf);
    assert!(matches!(ended, Ok(0) | Err(_)), "{ended:?}");
}
