//! Several dispatchers that share the limits of one contract and exchange demand reports.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use admit::Arrival;
use admit::Config;
use admit::Decision;
use admit::DemandReport;
use admit::Dispatcher;
use base::CentreId;
use base::Contract;
use base::Incarnation;
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

const NODES: u32 = 6;
const RATE: f64 = 60.0;
const BURST: u32 = 30;

fn contract() -> Contract {
    Contract {
        name: "quotes".parse().unwrap(),
        callers: vec![],
        org: "mill".parse().unwrap(),
        weight: 1,
        model: "m".parse().unwrap(),
        first_token: Duration::from_millis(400),
        token_rate: TokenRate(10.0),
        request_rate: RequestRate(RATE),
        burst: BURST,
        total_token_rate: TokenRate(1e9),
        overflow: Overflow::Refuse,
        priority: Priority(1),
    }
}

fn open(node: u32) -> Dispatcher {
    open_for(node, contract())
}

fn open_for(node: u32, contract: Contract) -> Dispatcher {
    let cfg = Config {
        node: NodeId(node),
        incarnation: Incarnation(1),
        nodes: (0..NODES).map(|n| (NodeId(n), CentreId(n % 3))).collect(),
        ..Config::default()
    };
    let mut dispatcher = Dispatcher::new(cfg, u64::from(node));
    dispatcher.set_contracts(&[contract], Time::ZERO);
    let model: ModelName = "m".parse().unwrap();
    let replica = Candidate {
        replica: ReplicaId(1),
        load: Load {
            slots: 100_000,
            prefill_rate: TokenRate(1e6),
            token_rate: TokenRate(50.0),
            ..Load::default()
        },
        ..Candidate::default()
    };
    dispatcher.set_replicas(&model, vec![replica], Time::ZERO);
    dispatcher
}

/// Sends one short request, which is answered at once if it is admitted. Returns whether it
/// was.
fn is_admitted(node: &mut Dispatcher, now: Time) -> bool {
    let request = RequestId(now.since(Time::ZERO).as_millis() as u64);
    let decision = node.handle_arrival(Arrival {
        request,
        contract: "quotes".parse().unwrap(),
        prompt: TokenCount(10),
        max_tokens: TokenCount(10),
        prefix: None,
        now,
    });
    let Decision::Send { .. } = decision else {
        return false;
    };
    node.record_first_token(request, now);
    node.record_finished(request, now);
    true
}

/// Sends requests far above the rate to `loaded_nodes` for `seconds`, while the nodes in `live`
/// exchange reports. Returns the number of admitted requests.
fn admitted(loaded_nodes: &[u32], live: &BTreeSet<NodeId>, seconds: u64) -> u64 {
    let mut nodes: Vec<_> = (0..NODES).map(open).collect();
    let mut reports: BTreeMap<NodeId, DemandReport> = BTreeMap::new();
    let mut admitted = 0;
    for ms in 0..seconds * 1_000 {
        let now = Time::from_millis(ms);
        if ms.is_multiple_of(100) {
            let received: Vec<_> = reports.values().cloned().collect();
            for node in live {
                let dispatcher = &mut nodes[node.0 as usize];
                dispatcher.apply_peer_reports(&received, live, now);
                reports.insert(*node, dispatcher.demand_report(now));
            }
        }
        for node in loaded_nodes {
            if is_admitted(&mut nodes[*node as usize], now) {
                admitted += 1;
            }
        }
    }
    admitted
}

fn set(nodes: impl IntoIterator<Item = u32>) -> BTreeSet<NodeId> {
    nodes.into_iter().map(NodeId).collect()
}

/// Asserts that about `part` of the limit was admitted in ten seconds.
fn assert_part(admitted: u64, part: f64) {
    let whole = RATE * 10.0 * part;
    let most = whole + f64::from(BURST) + f64::from(NODES) + RATE * 0.22;
    println!("{admitted} of {whole}");
    assert!(0.9 * whole <= admitted as f64 && admitted as f64 <= most);
}

#[test]
fn all_nodes_together_hold_the_limit() {
    assert_part(admitted(&[0, 1, 2, 3, 4, 5], &set(0..NODES), 10), 1.0);
}

#[test]
fn one_node_with_all_the_callers_gets_the_whole_limit() {
    assert_part(admitted(&[4], &set(0..NODES), 10), 1.0);
}

#[test]
fn a_lost_node_gives_its_share_back_while_its_data_centre_is_in_sight() {
    assert_part(admitted(&[0, 1, 2, 3], &set(0..5), 10), 1.0);
}

#[test]
fn a_side_that_is_cut_off_goes_on_with_its_part() {
    // Nodes 2 and 5 are in the third data centre.
    assert_part(admitted(&[0, 1, 3, 4], &set([0, 1, 3, 4]), 10), 2.0 / 3.0);
    assert_part(admitted(&[2, 5], &set([2, 5]), 10), 1.0 / 3.0);
}

#[test]
fn a_node_that_hears_of_no_other_goes_on_with_its_own_part() {
    assert_part(admitted(&[3], &set([]), 10), 1.0 / 6.0);
}

/// Nodes that report every half second, each at its own offset. Reports arrive after a short
/// delay.
struct ReportingNodes {
    nodes: Vec<Dispatcher>,
    /// Offset of each node's reports, in milliseconds.
    phases: Vec<u64>,
    /// Reports on their way.
    sent: BTreeMap<usize, DemandReport>,
    /// Reports that have arrived.
    received: BTreeMap<usize, DemandReport>,
}

impl ReportingNodes {
    /// Time between two reports of a node, in milliseconds.
    const EXCHANGE: u64 = 500;
    /// Time until a report arrives, in milliseconds.
    const DELAY: u64 = 10;

    fn open(count: usize, contract: &Contract, rng: &mut fastrand::Rng) -> Self {
        let ids = 0..count as u32;
        Self {
            nodes: ids.map(|n| open_for(n, contract.clone())).collect(),
            phases: (0..count).map(|_| rng.u64(0..Self::EXCHANGE)).collect(),
            sent: BTreeMap::new(),
            received: BTreeMap::new(),
        }
    }

    fn advance(&mut self, ms: u64) {
        let now = Time::from_millis(ms);
        let live = set(0..self.nodes.len() as u32);
        for at in 0..self.nodes.len() {
            let phase = self.phases[at];
            if ms % Self::EXCHANGE == phase {
                self.sent.insert(at, self.nodes[at].demand_report(now));
            }
            if ms % Self::EXCHANGE != (phase + Self::DELAY) % Self::EXCHANGE {
                continue;
            }
            self.received.extend(self.sent.remove(&at).map(|r| (at, r)));
            let received: Vec<_> = self.received.values().cloned().collect();
            for node in &mut self.nodes {
                node.apply_peer_reports(&received, &live, now);
            }
        }
    }
}

/// After a time without requests, callers at each of `count` nodes ask briefly for far more
/// than a slow contract allows. Returns the number of admitted requests and its upper bound.
fn admitted_after_quiet(count: usize, burst: u32, seed: u64) -> (f64, f64) {
    const RATE: f64 = 2.0;
    const SPAN: u64 = 6_000;
    const ASK_EVERY: u64 = 100;
    let slow = Contract {
        request_rate: RequestRate(RATE),
        burst,
        ..contract()
    };
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut reporting = ReportingNodes::open(count, &slow, &mut rng);
    let quiet = rng.u64(20_000..21_000);
    let mut admitted = 0;
    for ms in 0..quiet + SPAN {
        reporting.advance(ms);
        let now = Time::from_millis(ms);
        for (at, node) in reporting.nodes.iter_mut().enumerate() {
            let is_asking = quiet <= ms && ms % ASK_EVERY == at as u64;
            if is_asking && is_admitted(node, now) {
                admitted += 1;
            }
        }
    }
    let exchange_lag = (ReportingNodes::EXCHANGE + ReportingNodes::DELAY) as f64 / 1_000.0;
    let rate = RATE * SPAN as f64 / 1_000.0;
    let most = rate + f64::from(burst) + count as f64 + 2.0 * RATE * exchange_lag;
    (f64::from(admitted), most)
}

#[test]
fn what_was_spent_before_the_first_report_of_a_contract_counts() {
    for (count, burst) in [(3, 4), (6, 40)] {
        let mut worst: Option<(f64, f64, u64)> = None;
        for seed in 1..=100 {
            let (admitted, most) = admitted_after_quiet(count, burst, seed);
            let beyond = admitted - most;
            if worst.is_none_or(|(b, ..)| b < beyond) {
                worst = Some((beyond, admitted, seed));
            }
        }
        let (beyond, admitted, seed) = worst.unwrap();
        println!("{count} nodes: {admitted}, {beyond:.1} beyond the bound, seed {seed}");
        assert!(
            beyond <= 0.0,
            "{count} nodes, seed {seed}: {admitted} admitted"
        );
    }
}
