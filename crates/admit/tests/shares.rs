//! Fair shares of capacity across several nodes, compared with the ideal division by weight.

use std::collections::BTreeMap;
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

const NODES: usize = 3;
const REPLICAS: usize = 10;
const SLOTS: u32 = 4;
const ANSWER_TIME: Duration = Duration::from_millis(200);
const SECONDS: u64 = 20;

/// One organisation: its weight and its demand at each node, in requests per second.
struct Org {
    weight: u32,
    demand: [f64; NODES],
}

fn contract(org: usize, weight: u32) -> Contract {
    let name = format!("org{org}");
    Contract {
        name: name.parse().unwrap(),
        callers: vec![],
        org: name.parse().unwrap(),
        weight,
        model: model(),
        first_token: Duration::from_millis(400),
        token_rate: TokenRate(1.0),
        request_rate: RequestRate(1e6),
        burst: 1_000_000,
        total_token_rate: TokenRate(1e9),
        overflow: Overflow::Refuse,
        priority: Priority(1),
    }
}

fn model() -> ModelName {
    "m".parse().unwrap()
}

fn candidate(replica: usize, running: u32) -> Candidate {
    Candidate {
        replica: ReplicaId(replica as u64),
        load: Load {
            running,
            slots: SLOTS,
            prefill_rate: TokenRate(1e6),
            token_rate: TokenRate(50.0),
            ..Load::default()
        },
        ..Candidate::default()
    }
}

/// Nodes that share replicas. Each replica answers in 200 ms and reports its load every 20 ms.
struct Cluster {
    nodes: Vec<Dispatcher>,
    running: [u32; REPLICAS],
    /// Running requests by the time they end: node, organisation and replica.
    ends: BTreeMap<(Time, RequestId), (usize, usize, usize)>,
    /// Node and organisation of each request.
    origins: BTreeMap<RequestId, (usize, usize)>,
    answered: Vec<u32>,
}

impl Cluster {
    fn open(orgs: &[Org]) -> Self {
        let contracts: Vec<_> = orgs
            .iter()
            .enumerate()
            .map(|(at, o)| contract(at, o.weight))
            .collect();
        let open = |node: usize| {
            let cfg = Config {
                node: NodeId(node as u32),
                ..Config::default()
            };
            let mut dispatcher = Dispatcher::new(cfg, node as u64);
            dispatcher.set_contracts(&contracts, Time::ZERO);
            let idle = (0..REPLICAS).map(|replica| candidate(replica, 0));
            dispatcher.set_replicas(&model(), idle.collect(), Time::ZERO);
            dispatcher
        };
        Self {
            nodes: (0..NODES).map(open).collect(),
            running: [0; REPLICAS],
            ends: BTreeMap::new(),
            origins: BTreeMap::new(),
            answered: vec![0; orgs.len()],
        }
    }

    /// Runs a request at a replica if the decision is to send it.
    fn apply_decision(&mut self, request: RequestId, decision: &Decision, now: Time) {
        let Decision::Send { replica, .. } = decision else {
            return;
        };
        let (node, org) = self.origins[&request];
        let replica = replica.0 as usize;
        // Requests beyond the slots wait in the engine.
        self.running[replica] += 1;
        let queued = self.running[replica].saturating_sub(SLOTS);
        self.nodes[node].record_first_token(request, now + ANSWER_TIME * queued / SLOTS);
        let end = now + ANSWER_TIME + ANSWER_TIME * queued / SLOTS;
        self.ends.insert((end, request), (node, org, replica));
    }

    /// Ends the requests whose answers are complete.
    fn end_due(&mut self, now: Time) {
        while let Some((key, (node, org, replica))) = self.ends.pop_first() {
            if now < key.0 {
                self.ends.insert(key, (node, org, replica));
                return;
            }
            self.running[replica] -= 1;
            self.answered[org] += 1;
            self.nodes[node].record_finished(key.1, now);
        }
    }

    fn exchange(&mut self, now: Time) {
        let reports: Vec<DemandReport> = self
            .nodes
            .iter_mut()
            .map(|n| n.demand_report(now))
            .collect();
        let live: BTreeSet<_> = (0..NODES).map(|node| NodeId(node as u32)).collect();
        for node in &mut self.nodes {
            node.apply_peer_reports(&reports, &live, now);
        }
    }

    fn report_loads(&mut self, now: Time) {
        for node in &mut self.nodes {
            for replica in 0..REPLICAS {
                node.update_load(&model(), candidate(replica, self.running[replica]), now);
            }
        }
    }
}

/// Runs the organisations' demand and returns each one's answers per second.
fn run(orgs: &[Org]) -> Vec<f64> {
    let mut cluster = Cluster::open(orgs);
    let mut due = vec![vec![0.0; orgs.len()]; NODES];
    for ms in 0..SECONDS * 1_000 {
        let now = Time::from_millis(ms);
        cluster.end_due(now);
        if ms.is_multiple_of(20) {
            cluster.report_loads(now);
        }
        if ms.is_multiple_of(100) {
            cluster.exchange(now);
        }
        for (node, due) in due.iter_mut().enumerate() {
            for (request, decision) in cluster.nodes[node].poll(now) {
                cluster.apply_decision(request, &decision, now);
            }
            for (at, org) in orgs.iter().enumerate() {
                due[at] += org.demand[node] / 1_000.0;
                while 1.0 <= due[at] {
                    due[at] -= 1.0;
                    let request = RequestId(cluster.origins.len() as u64);
                    cluster.origins.insert(request, (node, at));
                    let decision = cluster.nodes[node].handle_arrival(Arrival {
                        request,
                        contract: format!("org{at}").parse().unwrap(),
                        prompt: TokenCount(10),
                        max_tokens: TokenCount(10),
                        prefix: None,
                        now,
                    });
                    cluster.apply_decision(request, &decision, now);
                }
            }
        }
    }
    let per_second = |count: &u32| f64::from(*count) / SECONDS as f64;
    cluster.answered.iter().map(per_second).collect()
}

#[test]
fn a_small_organisation_at_one_busy_node_keeps_its_share() {
    // Forty slots with answers of 200 ms give 200 answers per second, so each of two equal
    // shares is 100.
    let orgs = [
        Org {
            weight: 1,
            demand: [150.0, 150.0, 150.0],
        },
        Org {
            weight: 1,
            demand: [60.0, 0.0, 0.0],
        },
    ];
    let answered = run(&orgs);
    println!("{answered:?}, ideal [140, 60]");
    assert!(54.0 <= answered[1]);
    assert!(110.0 <= answered[0]);
}

#[test]
fn weights_divide_what_all_ask_for_wherever_they_ask() {
    let orgs = [
        Org {
            weight: 3,
            demand: [200.0, 20.0, 20.0],
        },
        Org {
            weight: 1,
            demand: [20.0, 20.0, 200.0],
        },
    ];
    let answered = run(&orgs);
    println!("{answered:?}, ideal [150, 50]");
    let ratio = answered[0] / answered[1];
    assert!((2.0..=4.0).contains(&ratio), "{ratio}");
    assert!(170.0 <= answered[0] + answered[1]);
}

#[test]
fn nothing_is_held_back_while_capacity_suffices() {
    let orgs = [
        Org {
            weight: 1,
            demand: [60.0, 40.0, 40.0],
        },
        Org {
            weight: 9,
            demand: [2.0, 2.0, 2.0],
        },
    ];
    let answered = run(&orgs);
    println!("{answered:?}, ideal [140, 6]");
    assert!(136.0 <= answered[0] && 5.5 <= answered[1]);
}
