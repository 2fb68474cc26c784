//! The rate limit of a contract holds for all entry nodes together.

use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use harness::Caller;
use harness::Cluster;
use harness::HostSpec;
use harness::NodeSpec;
use harness::rules_text;
use harness::wait_until;

const START_TIMEOUT: Duration = Duration::from_secs(40);

/// How long callers send far more requests than the contract allows.
const TEST_TIME: Duration = Duration::from_secs(6);

/// The time between two requests at one node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// The rate and burst of the contract `quotes` in the harness's rules.
const RATE: f64 = 2.0;
const BURST: f64 = 4.0;

/// Seconds between two exchanges of demand, and for one to be applied.
const EXCHANGE_SECONDS: f64 = 0.5 + 0.1;

fn count_admitted(caller: &Caller) -> usize {
    let start = Instant::now();
    let mut admitted = 0;
    while start.elapsed() < TEST_TIME {
        let sent = Instant::now();
        let reply = caller.chat("a quote", 1).unwrap();
        match (reply.status, reply.ran()) {
            (200, _) => admitted += 1,
            (429, "not-run") => assert!(reply.headers.contains_key("retry-after"), "{reply:?}"),
            _ => panic!("{reply:?}"),
        }
        std::thread::sleep(REQUEST_INTERVAL.saturating_sub(sent.elapsed()));
    }
    admitted
}

#[test]
fn three_nodes_together_hold_one_limit() {
    let nodes = [
        NodeSpec::voter(1, 1),
        NodeSpec::voter(2, 1),
        NodeSpec::voter(3, 1),
    ];
    let mut cluster = Cluster::start(&nodes).unwrap();
    cluster.start_host(HostSpec::new(1, 1)).unwrap();
    let applied = cluster
        .apply(NodeId(1), &rules_text(1), START_TIMEOUT)
        .unwrap();
    assert!(applied.status.success(), "{applied:?}\n{}", cluster.logs());
    let ids = [NodeId(1), NodeId(2), NodeId(3)];
    let served = |id| {
        cluster
            .caller(id, "stall-7")
            .chat("up?", 1)
            .is_ok_and(|r| r.is_done())
    };
    assert!(
        wait_until(START_TIMEOUT, || ids.into_iter().all(served)),
        "{}",
        cluster.logs()
    );

    let callers = ids.map(|id| cluster.caller(id, "quote-desk"));
    let admitted: usize = std::thread::scope(|scope| {
        let threads = callers
            .each_ref()
            .map(|caller| scope.spawn(|| count_admitted(caller)));
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .sum()
    });
    let seconds = TEST_TIME.as_secs_f64();
    let max_admitted = RATE * seconds + BURST + ids.len() as f64 + 2.0 * RATE * EXCHANGE_SECONDS;
    assert!(
        admitted as f64 <= max_admitted,
        "{admitted} admitted, at most {max_admitted} allowed"
    );
    // The callers also get at least half of what the contract grants.
    let contracted = RATE * seconds;
    assert!(
        contracted / 2.0 <= admitted as f64,
        "{admitted} admitted, the contract grants {contracted}"
    );
}
