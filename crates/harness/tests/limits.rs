//! A contract's limit holds over all entry nodes together.

use std::time::Duration;
use std::time::Instant;

use base::NodeId;
use harness::Caller;
use harness::Cluster;
use harness::HostSpec;
use harness::NodeSpec;
use harness::rules_text;
use harness::wait_until;

const UP: Duration = Duration::from_secs(40);

/// How long callers ask far more than they may.
const SPAN: Duration = Duration::from_secs(6);

/// Time between two requests at one node.
const ASK_EVERY: Duration = Duration::from_millis(100);

/// The rate and burst of the contract `quotes` in the harness's rules.
const RATE: f64 = 2.0;
const BURST: f64 = 4.0;

/// Time between two exchanges of demand, and for one to get through and be taken in.
const EXCHANGE: f64 = 0.5 + 0.1;

fn ask_on(caller: &Caller) -> usize {
    let start = Instant::now();
    let mut admitted = 0;
    while start.elapsed() < SPAN {
        let asked = Instant::now();
        let reply = caller.chat("a quote", 1).unwrap();
        match (reply.status, reply.ran()) {
            (200, _) => admitted += 1,
            (429, "not-run") => assert!(reply.headers.contains_key("retry-after"), "{reply:?}"),
            _ => panic!("{reply:?}"),
        }
        std::thread::sleep(ASK_EVERY.saturating_sub(asked.elapsed()));
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
    let applied = cluster.apply(NodeId(1), &rules_text(1), UP).unwrap();
    assert!(applied.status.success(), "{applied:?}\n{}", cluster.logs());
    let ids = [NodeId(1), NodeId(2), NodeId(3)];
    let served = |id| {
        cluster
            .caller(id, "stall-7")
            .chat("up?", 1)
            .is_ok_and(|r| r.is_done())
    };
    assert!(
        wait_until(UP, || ids.into_iter().all(served)),
        "{}",
        cluster.logs()
    );

    let callers = ids.map(|id| cluster.caller(id, "quote-desk"));
    let admitted: usize = std::thread::scope(|scope| {
        let asking = callers
            .each_ref()
            .map(|caller| scope.spawn(|| ask_on(caller)));
        asking
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .sum()
    });
    let span = SPAN.as_secs_f64();
    let bound = RATE * span + BURST + ids.len() as f64 + 2.0 * RATE * EXCHANGE;
    assert!(
        admitted as f64 <= bound,
        "{admitted} admitted, bound {bound}"
    );
    // What was bought is also given.
    let bought = RATE * span;
    assert!(
        bought / 2.0 <= admitted as f64,
        "{admitted} admitted, {bought} bought"
    );
}
