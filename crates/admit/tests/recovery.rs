//! Requests are served at once when a replica returns, however long all were refused before.
//!
//! Guards against treating requests as beyond their share because nothing was sent during
//! the outage.

use std::collections::BTreeSet;
use std::time::Duration;

use admit::Arrival;
use admit::Config;
use admit::Decision;
use admit::DemandReport;
use admit::Dispatcher;
use base::Contract;
use base::Load;
use base::ModelName;
use base::NodeId;
use base::Overflow;
use base::Priority;
use base::ReplicaId;
use base::RequestId;
use base::RequestRate;
use base::Time;
use base::TokenCount;
use base::TokenRate;
use route::Candidate;

const NODES: u32 = 3;

fn model() -> ModelName {
    "m".parse().unwrap()
}

fn contract() -> Contract {
    Contract {
        name: "chats".parse().unwrap(),
        callers: vec![],
        org: "lantern".parse().unwrap(),
        weight: 3,
        model: model(),
        first_token: Duration::from_millis(380),
        token_rate: TokenRate(20.0),
        request_rate: RequestRate(2_000.0),
        burst: 4_000,
        total_token_rate: TokenRate(1e6),
        overflow: Overflow::Wait(Duration::from_secs(2)),
        priority: Priority(1),
    }
}

fn idle(replica: u64) -> Candidate {
    Candidate {
        replica: ReplicaId(replica),
        load: Load {
            slots: 16,
            prefill_rate: TokenRate(20_000.0),
            token_rate: TokenRate(50.0),
            ..Load::default()
        },
        ..Candidate::default()
    }
}

fn open(node: u32) -> Dispatcher {
    let cfg = Config {
        node: NodeId(node),
        ..Config::default()
    };
    let mut dispatcher = Dispatcher::new(cfg, u64::from(node));
    dispatcher.set_contracts(&[contract()], Time::ZERO);
    dispatcher
}

fn send_request(node: &mut Dispatcher, id: u64, now: Time) -> Decision {
    node.handle_arrival(Arrival {
        request: RequestId(id),
        contract: "chats".parse().unwrap(),
        prompt: TokenCount(30),
        max_tokens: TokenCount(4),
        prefix: None,
        now,
    })
}

fn exchange(nodes: &mut [Dispatcher], now: Time) {
    let reports: Vec<DemandReport> = nodes
        .iter_mut()
        .map(|node| node.demand_report(now))
        .collect();
    let live: BTreeSet<NodeId> = (0..NODES).map(NodeId).collect();
    for node in nodes {
        node.apply_peer_reports(&reports, &live, now);
    }
}

#[test]
fn every_node_serves_at_once_when_a_replica_is_back() {
    // The new replica's id decides which node it belongs to for work beyond contracts.
    for replica in 1..20 {
        let mut nodes: Vec<_> = (0..NODES).map(open).collect();
        let mut id = 0;
        for ms in (0..20_000).step_by(50) {
            let now = Time::from_millis(1_000 + ms);
            if ms % 100 == 0 {
                exchange(&mut nodes, now);
            }
            for node in &mut nodes {
                id += 1;
                let decision = send_request(node, id, now);
                assert!(matches!(decision, Decision::Refuse { .. }), "{decision:?}");
            }
        }
        let now = Time::from_millis(21_050);
        for node in &mut nodes {
            node.set_replicas(&model(), vec![idle(replica)], now);
        }
        exchange(&mut nodes, now);
        for (at, node) in nodes.iter_mut().enumerate() {
            id += 1;
            let decision = send_request(node, id, now);
            let is_sent = matches!(decision, Decision::Send { .. });
            assert!(is_sent, "node {at}, replica {replica}: {decision:?}");
        }
    }
}
