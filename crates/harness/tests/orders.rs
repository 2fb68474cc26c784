//! Orders, with real processes: at most once, and correct responses about what ran.

use std::net::SocketAddr;
use std::time::Duration;

use base::NodeId;
use harness::Caller;
use harness::Cluster;
use harness::NodeSpec;
use harness::ServiceSpec;
use harness::rules_text;
use harness::wait_until;

const START_TIMEOUT: Duration = Duration::from_secs(20);

const ALL_NODES: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];

/// Starts three voters in three data centres, and one service. Returns the service's address.
fn start_cluster(spec: &ServiceSpec) -> (Cluster, SocketAddr) {
    let nodes = [
        NodeSpec::voter(1, 1),
        NodeSpec::voter(2, 2),
        NodeSpec::voter(3, 3),
    ];
    let mut cluster = Cluster::start(&nodes).unwrap();
    let service = cluster.start_service(spec).unwrap();
    let applied = cluster
        .apply(NodeId(1), &rules_text(1), START_TIMEOUT)
        .unwrap();
    assert!(applied.status.success(), "{applied:?}\n{}", cluster.logs());
    // An accepted change reaches the other nodes a little later.
    let in_force = |id: &NodeId| cluster.run_tool_json(*id, &["rules"])["version"] == 1;
    assert!(
        wait_until(START_TIMEOUT, || ALL_NODES.iter().all(in_force)),
        "{}",
        cluster.logs()
    );
    let known = |id: &NodeId| cluster.run_tool_json(*id, &["status"])["services"][0].is_object();
    assert!(
        wait_until(START_TIMEOUT, || ALL_NODES.iter().all(known)),
        "{}",
        cluster.logs()
    );
    (cluster, service)
}

fn runs_by_key(service: SocketAddr) -> serde_json::Value {
    Caller::new(service, "-").get("/runs").unwrap().json()
}

#[test]
fn resends_at_every_node_at_once_run_once() {
    let (cluster, service) = start_cluster(&ServiceSpec::new("orders", 1).delay_ms(100));
    let replies: Vec<_> = std::thread::scope(|scope| {
        let send = |at: usize| {
            let caller = cluster.caller(ALL_NODES[at % 3], "stall-7");
            scope.spawn(move || caller.call("orders", "{\"batch\":1}", Some("one")).unwrap())
        };
        let threads: Vec<_> = (0..12).map(send).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    assert_eq!(runs_by_key(service)["one"], 1);
    for reply in &replies {
        let is_expected = matches!((reply.status, reply.ran()), (200, "run") | (409, "unknown"));
        assert!(is_expected, "{reply:?}");
    }
    assert!(replies.iter().any(|reply| reply.status == 200));
    let caller = cluster.caller(NodeId(2), "stall-7");
    let other = caller.call("orders", "{\"batch\":2}", Some("one")).unwrap();
    assert_eq!(other.status, 422, "{other:?}");
    // Another organisation's key of the same name is another order.
    let foreign = cluster.caller(NodeId(2), "quote-desk");
    let foreign = foreign
        .call("orders", "{\"batch\":1}", Some("one"))
        .unwrap();
    assert_eq!(foreign.status, 200, "{foreign:?}");
    assert_eq!(runs_by_key(service)["one"], 2);
}

#[test]
fn a_node_killed_between_claim_and_answer_leaves_one_execution() {
    let (mut cluster, service) = start_cluster(&ServiceSpec::new("dispatch", 1).delay_ms(1_000));
    let caller = cluster.caller(NodeId(2), "stall-7");
    let interrupted =
        std::thread::spawn(move || caller.call("dispatch", "{\"lorry\":1}", Some("lorry")));
    std::thread::sleep(Duration::from_millis(500));
    cluster.node(NodeId(2)).kill();
    assert!(interrupted.join().unwrap().is_err());
    let resent = cluster.caller(NodeId(1), "stall-7");
    let resent = resent
        .call("dispatch", "{\"lorry\":1}", Some("lorry"))
        .unwrap();
    assert_eq!(
        (resent.status, resent.ran()),
        (409, "unknown"),
        "{resent:?}"
    );
    for id in ALL_NODES {
        cluster.node(id).kill();
    }
    for id in ALL_NODES {
        cluster.start_node(id).unwrap();
    }
    let resend = |id: NodeId| {
        let reply = cluster
            .caller(id, "stall-7")
            .call("dispatch", "{\"lorry\":1}", Some("lorry"));
        reply.is_ok_and(|r| r.status == 409 && r.ran() == "unknown")
    };
    assert!(
        wait_until(START_TIMEOUT, || ALL_NODES.into_iter().all(resend)),
        "{}",
        cluster.logs()
    );
    assert_eq!(runs_by_key(service)["lorry"], 1);
}

#[test]
fn a_lost_answer_is_said_to_be_unknown_or_learned_from_the_service() {
    // `orders` can be asked for the outcome of a key, `dispatch` cannot.
    let (mut cluster, orders) = start_cluster(&ServiceSpec::new("orders", 1).drop_answers(1));
    let dispatch = cluster
        .start_service(&ServiceSpec::new("dispatch", 1).drop_answers(1))
        .unwrap();
    let caller = cluster.caller(NodeId(3), "stall-7");
    let known = || cluster.run_tool_json(NodeId(3), &["status"])["services"][1].is_object();
    assert!(wait_until(START_TIMEOUT, known));

    let asked = caller.call("orders", "{}", Some("a")).unwrap();
    assert_eq!((asked.status, asked.ran()), (200, "run"), "{asked:?}");
    let lost = caller.call("dispatch", "{}", Some("a-lorry")).unwrap();
    assert_eq!((lost.status, lost.ran()), (502, "unknown"), "{lost:?}");
    for id in ALL_NODES {
        let again = cluster
            .caller(id, "stall-7")
            .call("dispatch", "{}", Some("a-lorry"))
            .unwrap();
        assert_eq!((again.status, again.ran()), (409, "unknown"), "{again:?}");
    }
    assert_eq!(runs_by_key(orders)["a"], 1);
    assert_eq!(runs_by_key(dispatch)["a-lorry"], 1);
}

// Callers were told "not run" of orders that ran, or such an order ran again.
#[test]
fn an_earlier_refusal_that_comes_once_more_does_not_free_an_order() {
    // `orders` can be asked for the outcome of a key, `dispatch` cannot.
    let (mut cluster, orders) = start_cluster(&ServiceSpec::new("orders", 1).earlier_refusals(4));
    let dispatch = cluster
        .start_service(&ServiceSpec::new("dispatch", 1).earlier_refusals(4))
        .unwrap();
    let caller = cluster.caller(NodeId(3), "stall-7");
    let known = || cluster.run_tool_json(NodeId(3), &["status"])["services"][1].is_object();
    assert!(wait_until(START_TIMEOUT, known));
    for key in ["a", "b", "c", "d"] {
        let asked = caller.call("orders", "{}", Some(key)).unwrap();
        assert_eq!((asked.status, asked.ran()), (200, "run"), "{asked:?}");
        let lorry = format!("{key}-lorry");
        let lost = caller.call("dispatch", "{}", Some(&lorry)).unwrap();
        assert_eq!((lost.status, lost.ran()), (502, "unknown"), "{lost:?}");
        assert_eq!(runs_by_key(orders)[key], 1);
        assert_eq!(runs_by_key(dispatch)[lorry], 1);
    }
}

#[test]
fn without_a_quorum_an_order_is_truthfully_not_run() {
    let (mut cluster, service) = start_cluster(&ServiceSpec::new("orders", 1));
    cluster.node(NodeId(2)).kill();
    cluster.node(NodeId(3)).kill();
    let caller = cluster.caller(NodeId(1), "stall-7");
    let refused = caller.call("orders", "{}", Some("night")).unwrap();
    assert_eq!(refused.status, 503, "{refused:?}");
    cluster.start_node(NodeId(2)).unwrap();
    cluster.start_node(NodeId(3)).unwrap();
    let back = || {
        caller
            .call("orders", "{}", Some("other"))
            .is_ok_and(|r| r.status == 200)
    };
    assert!(wait_until(START_TIMEOUT, back), "{}", cluster.logs());
    // A response that says the order did not run stays true: it does not run later either.
    if refused.ran() == "not-run" {
        assert!(
            runs_by_key(service)["night"].is_null(),
            "{}",
            runs_by_key(service)
        );
    }
    // No process of the service could be reached, so the order certainly did not
    // run and its key is free again.
    cluster.service(service).kill();
    let unreached = caller.call("orders", "{}", Some("later")).unwrap();
    assert_eq!(
        (unreached.status, unreached.ran()),
        (503, "not-run"),
        "{unreached:?}"
    );
}

#[test]
fn many_calls_at_once_each_get_their_own_answer() {
    let (cluster, service) = start_cluster(&ServiceSpec::new("orders", 1).delay_ms(20));
    let runtime = compio::runtime::Runtime::new().unwrap();
    let calls = (0..300).map(|n| {
        let caller = cluster.caller(ALL_NODES[n % 3], "stall-7");
        async move {
            let key = format!("key-{n}");
            let path = "/v1/services/orders";
            let reply = caller
                .exchange(http::Method::POST, path, "{}", Some(&key))
                .await
                .unwrap();
            (key, reply)
        }
    });
    let replies = runtime.block_on(futures_util::future::join_all(calls));
    for (key, reply) in &replies {
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(reply.json()["key"], **key, "{reply:?}");
    }
    let all = runs_by_key(service);
    assert!(replies.iter().all(|(key, _)| all[key] == 1));
}
