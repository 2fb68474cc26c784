//! The request path, with real processes: chats, services, a killed node, a graceful stop.

use std::time::Duration;

use base::NodeId;
use harness::Cluster;
use harness::HostSpec;
use harness::NodeSpec;
use harness::ServiceSpec;
use harness::rules_text;
use harness::wait_until;

const START_TIMEOUT: Duration = Duration::from_secs(40);

fn start_cluster() -> Cluster {
    let nodes = [
        NodeSpec::voter(1, 1),
        NodeSpec::voter(2, 1),
        NodeSpec::voter(3, 2),
    ];
    let mut cluster = Cluster::start(&nodes).unwrap();
    for id in 1..=2 {
        cluster.start_host(HostSpec::new(id, 1)).unwrap();
    }
    for id in 3..=4 {
        cluster
            .start_host(HostSpec::new(id, 2).ignoring_fences())
            .unwrap();
    }
    let applied = cluster
        .apply(NodeId(1), &rules_text(2), START_TIMEOUT)
        .unwrap();
    assert!(applied.status.success(), "{applied:?}\n{}", cluster.logs());
    let served = |id| {
        cluster
            .caller(NodeId(id), "stall-7")
            .chat("up?", 1)
            .is_ok_and(|r| r.is_done())
    };
    assert!(
        wait_until(START_TIMEOUT, || served(1) && served(3)),
        "{}",
        cluster.logs()
    );
    cluster
}

#[test]
fn the_path_holds_when_a_node_is_killed_and_when_one_stops() {
    let mut cluster = start_cluster();
    cluster
        .start_service(&ServiceSpec::new("stock", 2))
        .unwrap();

    // A response that is not streamed has the same text as the streamed one.
    let caller = cluster.caller(NodeId(1), "stall-7");
    let streamed = caller.chat("a fox", 6).unwrap();
    assert!(streamed.is_done(), "{streamed:?}");
    let whole = caller.chat_without_streaming("a fox", 6).unwrap();
    assert_eq!(
        whole.json()["choices"][0]["message"]["content"],
        streamed.text()
    );
    assert_eq!(whole.json()["usage"]["completion_tokens"], 6);

    // An unknown caller and a call that no rule allows are refused, and nothing runs.
    let stranger = cluster
        .caller(NodeId(1), "nobody")
        .chat("a fox", 1)
        .unwrap();
    assert_eq!((stranger.status, stranger.ran()), (401, "not-run"));
    let other = cluster
        .caller(NodeId(1), "quote-desk")
        .call("dispatch", "{}", None)
        .unwrap();
    assert_eq!((other.status, other.ran()), (403, "not-run"));

    // A service in another data centre is reached too.
    let stock = || {
        caller
            .call("stock", "{}", None)
            .is_ok_and(|r| r.status == 200)
    };
    assert!(wait_until(Duration::from_secs(5), stock));

    // A graceful stop ends no stream early.
    let streaming = cluster.caller(NodeId(2), "stall-7");
    let stream = std::thread::spawn(move || streaming.chat("a long tale", 100));
    std::thread::sleep(Duration::from_millis(500));
    let stopped = cluster.node(NodeId(2)).stop(Duration::from_secs(20));
    assert!(
        stopped.is_some_and(|status| status.success()),
        "{}",
        cluster.logs()
    );
    let reply = stream.join().unwrap().unwrap();
    assert!(reply.is_done(), "{reply:?}\n{}", cluster.logs());

    // The other nodes still serve after one is killed.
    cluster.node(NodeId(1)).kill();
    let remaining = cluster.caller(NodeId(3), "stall-7");
    let served = || remaining.chat("still there?", 3).is_ok_and(|r| r.is_done());
    assert!(
        wait_until(Duration::from_secs(5), served),
        "{}",
        cluster.logs()
    );
}

#[test]
fn a_node_that_is_stopping_says_that_it_is_not_ready() {
    let mut cluster = Cluster::start(&[NodeSpec::voter(1, 1)]).unwrap();
    let caller = cluster.caller(NodeId(1), "stall-7");
    let status = |path: &str| caller.get(path).map(|r| r.status).unwrap_or(0);
    assert!(wait_until(START_TIMEOUT, || status("/live") == 200));
    assert_eq!(status("/ready"), 503);
    let refused = caller.chat("too early", 1).unwrap();
    assert_eq!((refused.status, refused.ran()), (503, "not-run"));
    assert!(refused.headers.contains_key("retry-after"));
    assert!(
        cluster
            .apply(NodeId(1), &rules_text(1), START_TIMEOUT)
            .unwrap()
            .status
            .success()
    );
    assert!(wait_until(START_TIMEOUT, || status("/ready") == 200));
    cluster
        .node(NodeId(1))
        .signal(rustix::process::Signal::TERM);
    assert!(wait_until(Duration::from_secs(2), || status("/ready") != 200));
}
