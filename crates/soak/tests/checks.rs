//! The soak's own checks see what they are for, on records made up here.

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use base::NodeId;
use harness::expected_text;
use soak::Chat;
use soak::Finding;
use soak::Links;
use soak::Order;
use soak::Plan;
use soak::Record;
use soak::Said;
use soak::Seen;
use soak::Size;
use soak::Trouble;
use soak::Way;
use soak::check;

const ONE: NodeId = NodeId(1);
const TWO: NodeId = NodeId(2);

/// A record of one order that ran so often.
fn ordered(said: &[Said], runs: u64) -> Record {
    let key = "a".to_owned();
    let service = "orders".to_owned();
    let ran = match runs {
        0 => BTreeMap::new(),
        runs => BTreeMap::from([(key.clone(), runs)]),
    };
    Record {
        runs: BTreeMap::from([(service.clone(), ran)]),
        orders: vec![Order {
            service,
            key,
            said: said.to_vec(),
        }],
        ..Record::default()
    }
}

fn kinds(record: &Record) -> Vec<&'static str> {
    let kind = |finding: Finding| match finding {
        Finding::RanAgain { .. } => "ran again",
        Finding::DidNotRun { .. } => "did not run",
        Finding::DidRun { .. } => "did run",
        Finding::WrongText { .. } => "wrong text",
        Finding::WentBack { .. } => "went back",
        Finding::Forgotten { .. } => "forgotten",
        Finding::DoesNotServe { .. } => "does not serve",
        Finding::Ended { .. } => "ended",
    };
    check(record).into_iter().map(kind).collect()
}

#[test]
fn what_was_said_of_an_order_is_held_against_its_service() {
    assert_eq!(kinds(&ordered(&[Said::Run], 1)), [""; 0]);
    assert_eq!(kinds(&ordered(&[Said::Nothing, Said::Unknown], 1)), [""; 0]);
    assert_eq!(kinds(&ordered(&[Said::NotRun, Said::NotRun], 0)), [""; 0]);
    assert_eq!(
        kinds(&ordered(&[Said::Nothing, Said::Run], 2)),
        ["ran again"]
    );
    assert_eq!(kinds(&ordered(&[Said::Run], 0)), ["did not run"]);
    assert_eq!(kinds(&ordered(&[Said::NotRun], 1)), ["did run"]);
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
    assert_eq!(kinds(&chat(expected_text("tale", 4), true)), [""; 0]);
    assert_eq!(kinds(&chat(expected_text("tale", 2), false)), [""; 0]);
    assert_eq!(kinds(&chat(expected_text("tale", 2), true)), ["wrong text"]);
    assert_eq!(
        kinds(&chat(expected_text("other", 4), true)),
        ["wrong text"]
    );
}

#[test]
fn a_version_goes_back_only_with_a_new_life_and_an_accepted_one_is_kept() {
    let seen = |life, version| Seen {
        node: ONE,
        life,
        version,
    };
    let record = |second| Record {
        seen: vec![seen(0, 3), second],
        accepted: 3,
        last: BTreeMap::from([(ONE, 3)]),
        ..Record::default()
    };
    assert_eq!(kinds(&record(seen(0, 4))), [""; 0]);
    assert_eq!(kinds(&record(seen(1, 2))), [""; 0]);
    assert_eq!(kinds(&record(seen(0, 2))), ["went back"]);
    let mut record = record(seen(0, 3));
    record.last.insert(TWO, 2);
    assert_eq!(kinds(&record), ["forgotten"]);
}

#[test]
fn a_seed_gives_one_plan_and_at_most_one_disk_is_wiped() {
    for seed in 0..200 {
        let span = Duration::from_secs(60);
        let plan = Plan::draw(seed, Size::default(), span);
        assert_eq!(plan, Plan::draw(seed, Size::default(), span));
        let is_wipe = |trouble| matches!(trouble, Trouble::Wipe(_));
        let wipes = plan.steps.iter().filter(|step| is_wipe(step.trouble));
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

    // What the other end sends back is lost, whoever opened the connection.
    links.set(0, TWO, ONE, Way::Lost);
    far.write_all(b"gone!").unwrap();
    std::thread::sleep(Duration::from_millis(300));
    links.clear(0);
    far.write_all(b"again").unwrap();
    near.read_exact(&mut buf).unwrap();
    assert_eq!(&buf, b"again");

    links.set(1, ONE, TWO, Way::Reset);
    near.write_all(b"reset").unwrap();
    let ended = near.read(&mut buf);
    assert!(matches!(ended, Ok(0) | Err(_)), "{ended:?}");
}
