//! Limits across all entry nodes, compared with one global token bucket.

use std::collections::BTreeMap;
use std::time::Duration;

use admit::Bucket;
use admit::PeerUsage;
use base::Incarnation;
use base::NodeId;
use base::Time;

const RATE: f64 = 200.0;
const BURST: f64 = 100.0;
const NODES: usize = 9;
const EXCHANGE_INTERVAL_MS: u64 = 100;
const REPORT_DELAY_MS: u64 = 10;

fn seeds(count: u64) -> Vec<u64> {
    match std::env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok())
    {
        Some(seed) => vec![seed],
        None => (1..=count).collect(),
    }
}

/// Nine nodes that exchange their usage of one contract with a delay.
struct Nodes {
    buckets: Vec<Bucket>,
    incarnations: Vec<u64>,
    /// The network partition that each node is in. Nodes of the same partition receive each
    /// other's reports. A frozen or dead node is in none.
    partitions: Vec<Option<u8>>,
    /// Each node's last report and when it was sent.
    reports: BTreeMap<usize, (Time, PeerUsage)>,
    admitted: u64,
    refused: u64,
}

impl Nodes {
    fn open() -> Self {
        let open = |_| Bucket::new(RATE, BURST, 1.0, 1.0 / NODES as f64, Time::ZERO);
        Self {
            buckets: (0..NODES).map(open).collect(),
            incarnations: vec![1; NODES],
            partitions: vec![Some(0); NODES],
            reports: BTreeMap::new(),
            admitted: 0,
            refused: 0,
        }
    }

    /// The part of the limit for the nodes of a partition. Nodes 0 to 2, 3 to 5 and 6 to 8 are
    /// the data centres. A data centre with a node in the partition counts in full.
    fn visible_part(&self, partition: Option<u8>) -> f64 {
        let is_visible =
            |centre: usize| (0..3).any(|n| self.partitions[centre * 3 + n] == partition);
        (0..3).filter(|centre| is_visible(*centre)).count() as f64 / 3.0
    }

    fn exchange(&mut self, now: Time) {
        let mut reports = Vec::new();
        for at in 0..NODES {
            let Some(partition) = self.partitions[at] else {
                continue;
            };
            let visible_part = self.visible_part(Some(partition));
            let is_received = |peer: &usize, sent_at: Time| {
                let arrived = sent_at + Duration::from_millis(REPORT_DELAY_MS) <= now;
                *peer != at && self.partitions[*peer] == Some(partition) && arrived
            };
            let received = self
                .reports
                .iter()
                .filter(|(peer, (sent_at, _))| is_received(peer, *sent_at));
            let received: Vec<_> = received.map(|(_, (_, usage))| *usage).collect();
            let live = self
                .partitions
                .iter()
                .filter(|other| **other == Some(partition))
                .count();
            self.buckets[at].apply_peers(&received, live, visible_part, now);
            let usage = PeerUsage {
                node: NodeId(at as u32),
                incarnation: Incarnation(self.incarnations[at]),
                demand: self.buckets[at].demand(),
                spent: self.buckets[at].spent(),
                held: Some(self.buckets[at].held()),
            };
            reports.push((at, (now, usage)));
        }
        self.reports.extend(reports);
    }

    fn send_request(&mut self, node: usize, now: Time) {
        if self.buckets[node].take(1.0, now) {
            self.admitted += 1;
        } else {
            self.refused += 1;
        }
    }
}

/// The most requests that one global bucket admits in `span` seconds.
fn global_bucket_limit(span: f64) -> f64 {
    RATE * span + BURST
}

/// Runs the nodes for `seconds` at a demand of `times` the rate, spread by `weights`. Returns
/// the nodes and the total of admitted requests at each exchange, every 100 ms.
fn run(
    seed: u64,
    seconds: u64,
    times: f64,
    mut weights: impl FnMut(u64, &mut fastrand::Rng) -> [f64; NODES],
    mut fault: impl FnMut(u64, &mut Nodes),
) -> (Nodes, Vec<u64>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut nodes = Nodes::open();
    let mut admitted = Vec::new();
    for ms in 0..seconds * 1_000 {
        let now = Time::from_millis(ms);
        fault(ms, &mut nodes);
        if ms % EXCHANGE_INTERVAL_MS == 0 {
            nodes.exchange(now);
            admitted.push(nodes.admitted);
        }
        let weights = weights(ms, &mut rng);
        if weights.iter().sum::<f64>() <= 0.0 {
            continue;
        }
        let mut due = times * RATE / 1_000.0;
        while rng.f64() < due {
            due -= 1.0;
            let mut left = rng.f64() * weights.iter().sum::<f64>();
            let node = weights.iter().position(|w| {
                left -= w;
                left < 0.0
            });
            let node = node.unwrap_or(0);
            if nodes.partitions[node].is_some() {
                nodes.send_request(node, now);
            }
        }
    }
    admitted.push(nodes.admitted);
    (nodes, admitted)
}

/// The largest excess of admitted requests over the rate, over all time spans. `admitted` holds
/// the total at each exchange.
fn excess(admitted: &[u64]) -> f64 {
    let mut worst = f64::MIN;
    let mut lowest = f64::MAX;
    for (at, total) in admitted.iter().enumerate() {
        let above_rate = *total as f64 - RATE * (at as u64 * EXCHANGE_INTERVAL_MS) as f64 / 1_000.0;
        lowest = lowest.min(above_rate);
        worst = worst.max(above_rate - lowest);
    }
    worst
}

/// The documented upper bound of the excess: the burst, one request per node, and what the
/// delay of one exchange allows.
fn bound() -> f64 {
    let exchange_lag = Duration::from_millis(EXCHANGE_INTERVAL_MS + REPORT_DELAY_MS).as_secs_f64();
    BURST + NODES as f64 + 2.0 * RATE * exchange_lag
}

#[test]
fn uneven_splits_that_change_all_the_time_stay_within_the_bound() {
    for seed in seeds(20) {
        let mut split = [1.0; NODES];
        let weights = |ms: u64, rng: &mut fastrand::Rng| {
            if ms.is_multiple_of(700) {
                split = std::array::from_fn(|_| rng.f64().powi(4) + 0.001);
            }
            split
        };
        let (nodes, admitted) = run(seed, 20, 3.0, weights, |_, _| {});
        let worst = excess(&admitted);
        println!("SEED={seed} excess {worst:.0} of {:.0}", bound());
        assert!(worst <= bound(), "SEED={seed}: {worst}");
        let least = 0.97 * RATE * 20.0;
        assert!(
            least <= nodes.admitted as f64,
            "SEED={seed}: {}",
            nodes.admitted
        );
    }
}

#[test]
fn a_surge_at_one_node_after_a_calm_gets_the_burst_once() {
    for seed in seeds(10) {
        let weights = |ms: u64, _: &mut fastrand::Rng| {
            let mut weights = [0.0; NODES];
            if 1_000 < ms % 2_000 {
                weights[(ms / 2_000 % 9) as usize] = 1.0;
            }
            weights
        };
        let (nodes, admitted) = run(seed, 20, 6.0, weights, |_, _| {});
        let worst = excess(&admitted);
        println!(
            "SEED={seed} surge excess {worst:.0}, admitted {}",
            nodes.admitted
        );
        assert!(worst <= bound(), "SEED={seed}: {worst}");
        // Ten surges of one second, with a full burst before each.
        let least = 0.9 * 10.0 * (RATE + BURST);
        assert!(
            least <= nodes.admitted as f64,
            "SEED={seed}: {}",
            nodes.admitted
        );
    }
}

#[test]
fn demand_at_nine_tenths_of_the_rate_is_nearly_all_admitted() {
    for seed in seeds(10) {
        let weights = |_: u64, _: &mut fastrand::Rng| [5.0, 0.2, 1.0, 1.0, 0.1, 3.0, 1.0, 1.0, 0.5];
        let (nodes, _) = run(seed, 20, 0.9, weights, |_, _| {});
        let share = nodes.refused as f64 / (nodes.refused + nodes.admitted) as f64;
        println!("SEED={seed} refused {share:.4}");
        assert!(share <= 0.02, "SEED={seed}: {share}");
    }
}

#[test]
fn a_partition_at_the_crest_stays_within_the_bound_on_both_sides_together() {
    for seed in seeds(10) {
        let weights = |_: u64, _: &mut fastrand::Rng| [1.0; NODES];
        let fault = |ms: u64, nodes: &mut Nodes| {
            let is_cut = (5_000..15_000).contains(&ms);
            for node in 6..NODES {
                nodes.partitions[node] = Some(u8::from(is_cut));
            }
        };
        let (nodes, admitted) = run(seed, 25, 3.0, weights, fault);
        let worst = excess(&admitted);
        println!("SEED={seed} excess {worst:.0}, admitted {}", nodes.admitted);
        assert!(worst <= bound(), "SEED={seed}: {worst}");
        assert!(0.95 * RATE * 25.0 <= nodes.admitted as f64, "SEED={seed}");
    }
}

#[test]
fn nodes_that_die_and_come_back_with_a_new_life_do_not_lift_the_limit() {
    for seed in seeds(10) {
        let weights = |_: u64, _: &mut fastrand::Rng| [1.0; NODES];
        let fault = |ms: u64, nodes: &mut Nodes| {
            let node = (ms / 2_000 % 9) as usize;
            if ms.is_multiple_of(2_000) {
                nodes.partitions[node] = None;
            }
            if ms % 2_000 == 1_000 {
                nodes.partitions[node] = Some(0);
                nodes.incarnations[node] += 1;
                let visible_part = 1.0 / NODES as f64;
                let now = Time::from_millis(ms);
                nodes.buckets[node] = Bucket::new(RATE, BURST, 1.0, visible_part, now);
            }
        };
        let (nodes, admitted) = run(seed, 20, 3.0, weights, fault);
        let worst = excess(&admitted);
        println!("SEED={seed} excess {worst:.0}, admitted {}", nodes.admitted);
        assert!(worst <= bound() + BURST, "SEED={seed}: {worst}");
        assert!(0.9 * RATE * 20.0 <= nodes.admitted as f64, "SEED={seed}");
    }
}

#[test]
fn nodes_that_freeze_and_wake_at_the_crest_stay_within_the_bound() {
    for seed in seeds(10) {
        let weights = |_: u64, _: &mut fastrand::Rng| [1.0; NODES];
        let fault = |ms: u64, nodes: &mut Nodes| {
            let node = (ms / 1_500 % 9) as usize;
            if ms.is_multiple_of(1_500) {
                nodes.partitions[node] = None;
            }
            if ms % 1_500 == 1_050 {
                // The node wakes half an exchange interval before it receives reports.
                nodes.partitions[node] = Some(0);
                nodes.buckets[node].isolate(1.0 / NODES as f64, Time::from_millis(ms));
            }
        };
        let (nodes, admitted) = run(seed, 20, 3.0, weights, fault);
        let worst = excess(&admitted);
        println!(
            "SEED={seed} frozen excess {worst:.0}, admitted {}",
            nodes.admitted
        );
        assert!(worst <= bound(), "SEED={seed}: {worst}");
        assert!(0.9 * RATE * 20.0 <= nodes.admitted as f64, "SEED={seed}");
    }
}

#[test]
fn a_node_frozen_then_awake_admits_only_its_own_part() {
    let mut bucket = Bucket::new(RATE, BURST, 1.0, 1.0, Time::ZERO);
    bucket.apply_peers(&[], 1, 1.0, Time::ZERO);
    while bucket.take(1.0, Time::ZERO) {}
    let awake = Time::from_millis(600_000);
    bucket.isolate(1.0 / NODES as f64, awake);
    let admitted = (0..1_000).filter(|_| bucket.take(1.0, awake)).count();
    assert!(admitted as f64 <= BURST / NODES as f64 + 1.0, "{admitted}");
    assert!(global_bucket_limit(0.0) == BURST);
}
