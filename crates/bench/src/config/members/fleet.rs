//! A simulation of many cluster members on one virtual clock, with links between data centres.

mod changes;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::exchange_cost::ExchangeCost;
use super::exchange_cost::Workload;
use base::CentreId;
use base::Incarnation;
use base::NodeId;
use base::Time;
use base::Version;
use members::Config;
use members::DATAGRAM_OVERHEAD_BYTES;
use members::ItemKind;
use members::ItemUpdate;
use members::Members;
use members::Peer;
use members::Puller;
use members::Timing;

/// Microseconds between two ticks of a node.
const TICK_INTERVAL_US: u64 = 50_000;

/// Links within and between data centres: least and most one-way delay in microseconds, and the
/// share of datagrams lost.
const LOCAL_LINK: (u64, u64, f64) = (200, 800, 0.001);
const REMOTE_LINK: (u64, u64, f64) = (2_000, 9_000, 0.01);

/// Microseconds that a voter or a node of the same data centre takes to send the configuration.
const PULL_REPLY_US: u64 = 20_000;

/// Microseconds between two reports of loads and demand by one node.
const REPORT_INTERVAL_US: u64 = 5_000_000;

/// A simulated event. A `usize` is the index of a node; of two, the first is the sender.
#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    Datagram(usize, usize, Vec<u8>),
    PullRequest(usize, usize),
    PullReply(usize, Version),
    Change,
    Report(usize),
}

/// One simulated node and its counters of costs. `u64` times are in microseconds.
struct Node {
    peer: Peer,
    members: Members,
    puller: Puller,
    version: Version,
    sent_bytes: usize,
    received_bytes: usize,
    datagrams: usize,
    cpu_time: Duration,
    published_at: u64,
    published_reports: usize,
    timely_reports: usize,
}

/// All simulated nodes and their pending events. `u64` times are in microseconds.
pub struct Fleet {
    nodes: Vec<Node>,
    voters: Vec<NodeId>,
    workload: Workload,
    rng: fastrand::Rng,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    /// For each version: when it was accepted, on how many nodes it is in force, and when the
    /// latest of them put it in force. Times are in microseconds.
    versions: Vec<(u64, usize, u64)>,
    reset_at: u64,
    /// How many times nodes asked another node for a newer configuration.
    pub pulls: u32,
}

impl Fleet {
    /// Starts all nodes at once. The first node of each of the first three data centres is a
    /// voter.
    pub fn open((centres, per_centre): (u32, u32), workload: Workload, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            voters: (0..centres.min(3))
                .map(|index| NodeId(index * per_centre))
                .collect(),
            workload,
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            events: BTreeMap::new(),
            event_count: 0,
            versions: Vec::new(),
            reset_at: 0,
            pulls: 0,
        };
        let peers: Vec<Peer> = (0..centres * per_centre)
            .map(|node| Peer {
                node: NodeId(node),
                centre: CentreId(node / per_centre),
                addr: ([10, 0, (node >> 8) as u8, node as u8], 7_000).into(),
            })
            .collect();
        for (index, peer) in peers.iter().enumerate() {
            let node = fleet.open_node(*peer, &peers);
            fleet.nodes.push(node);
            let phase = fleet.rng.u64(0..TICK_INTERVAL_US);
            fleet.schedule(phase, Event::Tick(index));
            let phase = fleet.rng.u64(0..REPORT_INTERVAL_US);
            fleet.schedule(phase, Event::Report(index));
        }
        fleet
    }

    fn open_node(&mut self, peer: Peer, peers: &[Peer]) -> Node {
        let cfg = Config {
            me: peer,
            incarnation: Incarnation(1_790_000_000_000 + self.rng.u64(0..1_000)),
            seed_peers: peers
                .iter()
                .copied()
                .filter(|other| *other != peer)
                .collect(),
            rng_seed: self.rng.u64(..),
            timing: Timing::default(),
        };
        Node {
            peer,
            members: Members::new(cfg, Time(0)),
            puller: Puller::new(self.rng.u64(..)),
            version: Version(0),
            sent_bytes: 0,
            received_bytes: 0,
            datagrams: 0,
            cpu_time: Duration::ZERO,
            published_at: 0,
            published_reports: 0,
            timely_reports: 0,
        }
    }

    /// Schedules a new version, which all voters accept at this time.
    pub fn change_at(&mut self, at: Duration) {
        self.schedule(at.as_micros() as u64, Event::Change);
    }

    /// Runs until this time since the start.
    pub fn run_until(&mut self, end: Duration) {
        let end = end.as_micros() as u64;
        while let Some(first) = self.events.first_entry() {
            if end < first.key().0 {
                return;
            }
            let ((at, _), event) = first.remove_entry();
            self.now = at;
            self.handle_event(event);
        }
    }

    /// Sets the counters of all costs to zero.
    pub fn reset_counters(&mut self) {
        self.reset_at = self.now;
        for node in &mut self.nodes {
            node.sent_bytes = 0;
            node.received_bytes = 0;
            node.datagrams = 0;
            node.cpu_time = Duration::ZERO;
            node.published_reports = 0;
            node.timely_reports = 0;
        }
    }

    /// What the exchange cost since the counters were reset, `span` ago.
    pub fn cost(&self, span: Duration) -> ExchangeCost {
        let span = span.as_secs_f64();
        let rate = |value: fn(&Node) -> f64| -> Vec<f64> {
            self.nodes.iter().map(|node| value(node) / span).collect()
        };
        let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
        let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
        let core = rate(|node| node.cpu_time.as_secs_f64());
        let timely_reports: usize = self.nodes.iter().map(|node| node.timely_reports).sum();
        let published_reports: usize = self.nodes.iter().map(|node| node.published_reports).sum();
        let peers_in_centre = self
            .nodes
            .iter()
            .filter(|node| node.peer.centre == CentreId(0))
            .count()
            - 1;
        let due = (published_reports * peers_in_centre).max(1);
        let memory = |node: &Node| {
            let usage = node.members.memory_usage();
            (usage.roster + usage.items + usage.outbox) as f64
        };
        ExchangeCost {
            sent: mean(&rate(|node| node.sent_bytes as f64)),
            received: mean(&rate(|node| node.received_bytes as f64)),
            both_ways_max: max(&rate(|node| (node.sent_bytes + node.received_bytes) as f64)),
            datagrams: mean(&rate(|node| node.datagrams as f64)),
            core_share: mean(&core),
            core_share_max: max(&core),
            in_time: (0 < published_reports).then_some(timely_reports as f64 / due as f64),
            memory: self.nodes.iter().map(memory).sum::<f64>() / self.nodes.len() as f64,
        }
    }

    /// Times from the acceptance of a version until it is in force on the last node. Only
    /// versions that are in force on all nodes count.
    pub fn propagation_times(&self) -> Vec<Duration> {
        let all = self.versions.iter();
        let done = all.filter(|(_, nodes, _)| *nodes == self.nodes.len());
        let times = done.map(|(accepted, _, last)| Duration::from_micros(last - accepted));
        times.collect()
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(index) => {
                self.schedule(self.now + TICK_INTERVAL_US, Event::Tick(index));
                self.run_timed(index, |node, now| node.members.tick(now));
                self.pull_if_due(index);
                self.send_packets(index);
            }
            Event::Datagram(from, to, bytes) => {
                let size = bytes.len() + DATAGRAM_OVERHEAD_BYTES;
                let from = self.nodes[from].peer.node;
                self.nodes[to].received_bytes += size;
                self.nodes[to].datagrams += 1;
                let mut updates = Vec::new();
                self.run_timed(to, |node, now| {
                    node.members.receive(from, &bytes, now);
                    updates = node.members.take_item_updates();
                });
                self.count_timely_reports(to, &updates);
                self.send_packets(to);
            }
            Event::PullRequest(from, to) => {
                let version = self.nodes[to].version;
                if let Some(delay) = self.link_delay(to, from) {
                    let due = self.now + delay + PULL_REPLY_US;
                    self.schedule(due, Event::PullReply(from, version));
                }
            }
            Event::PullReply(to, version) => {
                self.set_version(to, version);
                let now = Time(self.now);
                self.nodes[to].puller.finish_ask(now);
                self.send_packets(to);
            }
            Event::Change => self.accept_change(),
            Event::Report(index) => self.publish_reports(index),
        }
    }

    fn count_timely_reports(&mut self, index: usize, updates: &[ItemUpdate]) {
        for report in updates
            .iter()
            .filter(|update| update.item.kind == ItemKind::Loads)
        {
            let origin = report.origin.0 as usize;
            let age = self.now - self.nodes[origin].published_at;
            let is_counted = self.reset_at <= self.nodes[origin].published_at;
            self.nodes[index].timely_reports += usize::from(is_counted && age < REPORT_INTERVAL_US);
        }
    }

    fn run_timed(&mut self, index: usize, action: impl FnOnce(&mut Node, Time)) {
        let node = &mut self.nodes[index];
        let started = Instant::now();
        action(node, Time(self.now));
        node.cpu_time += started.elapsed();
    }

    fn send_packets(&mut self, index: usize) {
        let mut packets = Vec::new();
        self.run_timed(index, |node, now| packets = node.members.take_packets(now));
        for packet in packets {
            let to = packet.to.0 as usize;
            self.nodes[index].sent_bytes += packet.bytes.len() + DATAGRAM_OVERHEAD_BYTES;
            self.nodes[index].datagrams += 1;
            if let Some(delay) = self.link_delay(index, to) {
                let datagram = Event::Datagram(index, to, packet.bytes);
                self.schedule(self.now + delay, datagram);
            }
        }
    }

    /// The delay of a message in microseconds, or `None` if it is lost.
    fn link_delay(&mut self, from: usize, to: usize) -> Option<u64> {
        let is_same_centre = self.nodes[from].peer.centre == self.nodes[to].peer.centre;
        let (min, max, loss_share) = if is_same_centre {
            LOCAL_LINK
        } else {
            REMOTE_LINK
        };
        let delay = self.rng.u64(min..=max);
        (loss_share <= self.rng.f64()).then_some(delay)
    }
}
