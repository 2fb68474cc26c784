//! A node that stops while calls go on that outlast its drain, with real processes.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use harness::Cluster;
use harness::NodeSpec;
use harness::ServiceSpec;
use harness::rules_text;
use harness::wait_until;

const START_TIMEOUT: Duration = Duration::from_secs(20);
const NODE: NodeId = NodeId(1);

/// How long the node takes requests after the signal, and then lets them end.
const LIMITS: &str = "drain = \"500ms\"\n";

// Callers' connections ended without a byte at the end of the drain.
#[test]
fn calls_that_outlast_the_drain_get_a_whole_answer_that_says_they_may_have_run() {
    let spec = NodeSpec::voter(1, 1).limits(LIMITS);
    let mut cluster = Cluster::start(&[spec]).unwrap();
    for service in ["stock", "dispatch"] {
        let service = ServiceSpec::new(service, 1).delay_ms(1_900);
        cluster.start_service(&service).unwrap();
    }
    let applied = cluster.apply(NODE, &rules_text(1), START_TIMEOUT).unwrap();
    assert!(applied.status.success(), "{applied:?}\n{}", cluster.logs());
    let warm = cluster.caller(NODE, "stall-7");
    for service in ["stock", "dispatch"] {
        let answers = || {
            warm.call(service, "{}", None)
                .is_ok_and(|r| r.status == 200)
        };
        assert!(wait_until(START_TIMEOUT, answers), "{}", cluster.logs());
    }
    let mut calls = Vec::new();
    for (index, service) in ["stock", "dispatch", "dispatch"].into_iter().enumerate() {
        let caller = cluster.caller(NODE, "stall-7");
        calls.push(thread::spawn(move || {
            let key = format!("key-{index}");
            caller.call(service, "{}", (index == 2).then_some(&key))
        }));
    }
    thread::sleep(Duration::from_millis(150));
    let began_at = Instant::now();
    let status = cluster.node(NODE).stop(Duration::from_secs(3));
    assert!(status.is_some_and(|status| status.success()));
    assert!(began_at.elapsed() < Duration::from_millis(1_900));
    for call in calls {
        let reply = call.join().unwrap().unwrap();
        assert_eq!((reply.status, reply.ran()), (502, "unknown"), "{reply:?}");
    }
}
