//! A simulated network of members: loss, delay, duplicates, cuts, by seed.

#![allow(dead_code)] // Each test file uses only some of this module.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::CentreId;
use base::Incarnation;
use base::NodeId;
use base::Time;
use members::Config;
use members::Members;
use members::Peer;
use members::Standing;
use members::Timing;

/// Simulated time between two steps.
pub const STEP: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    pub loss: f64,
    pub duplicates: f64,
    pub delay_ms: (u64, u64),
}

pub const RELIABLE: NetworkConditions = NetworkConditions {
    loss: 0.0,
    duplicates: 0.0,
    delay_ms: (1, 8),
};

pub const LOSSY: NetworkConditions = NetworkConditions {
    loss: 0.2,
    duplicates: 0.05,
    delay_ms: (1, 90),
};

pub struct Node {
    pub peer: Peer,
    pub members: Members,
    /// False after a crash.
    pub up: bool,
    /// Until when the process is suspended, in simulated microseconds.
    pub frozen_until: u64,
    pub incarnation: u64,
    inbox: Vec<(NodeId, Vec<u8>)>,
}

pub struct World {
    /// Simulated time in microseconds.
    pub now: u64,
    pub nodes: Vec<Node>,
    pub rng: fastrand::Rng,
    pub conditions: NetworkConditions,
    /// Sender and receiver of the connections that lose every datagram.
    pub cuts: BTreeSet<(NodeId, NodeId)>,
    /// Datagrams with sender and receiver, by arrival time and sequence number.
    in_flight: BTreeMap<(u64, u64), (NodeId, NodeId, Vec<u8>)>,
    sent_count: u64,
    /// Sizes of the datagrams sent in the last step.
    sent_sizes: BTreeMap<NodeId, Vec<usize>>,
}

pub fn peer(node: u32, per_centre: u32) -> Peer {
    Peer {
        node: NodeId(node),
        centre: CentreId(node / per_centre),
        addr: ([10, 0, (node >> 8) as u8, node as u8], 7_000).into(),
    }
}

impl Node {
    fn new(peer: Peer, members: Members) -> Self {
        Self {
            peer,
            members,
            up: true,
            frozen_until: 0,
            incarnation: 1,
            inbox: Vec::new(),
        }
    }
}

impl World {
    pub fn new(centres: u32, per_centre: u32, seed: u64, conditions: NetworkConditions) -> Self {
        let mut world = Self {
            now: 1_000_000,
            nodes: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            conditions,
            cuts: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            sent_count: 0,
            sent_sizes: BTreeMap::new(),
        };
        let peers: Vec<Peer> = (0..centres * per_centre)
            .map(|node| peer(node, per_centre))
            .collect();
        for me in &peers {
            let members = world.start_members(*me, &peers, 1);
            world.nodes.push(Node::new(*me, members));
        }
        world
    }

    fn start_members(&mut self, me: Peer, peers: &[Peer], incarnation: u64) -> Members {
        let others = peers.iter().copied().filter(|peer| *peer != me);
        let cfg = Config {
            me,
            incarnation: Incarnation(incarnation),
            seed_peers: others.collect(),
            rng_seed: self.rng.u64(..),
            timing: Timing::default(),
        };
        Members::new(cfg, Time(self.now))
    }

    /// Adds a node that knows the others, while they do not know it.
    pub fn join(&mut self, me: Peer) -> usize {
        let peers: Vec<Peer> = self.nodes.iter().map(|node| node.peer).collect();
        let members = self.start_members(me, &peers, 1);
        self.nodes.push(Node::new(me, members));
        self.nodes.len() - 1
    }

    pub fn time(&self) -> Time {
        Time(self.now)
    }

    pub fn is_running(&self, index: usize) -> bool {
        self.nodes[index].up && self.nodes[index].frozen_until <= self.now
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    pub fn restart(&mut self, index: usize) {
        let peers: Vec<Peer> = self.nodes.iter().map(|node| node.peer).collect();
        let incarnation = self.nodes[index].incarnation + 1;
        let members = self.start_members(peers[index], &peers, incarnation);
        let node = &mut self.nodes[index];
        node.members = members;
        node.incarnation = incarnation;
        node.up = true;
        node.frozen_until = 0;
        node.inbox.clear();
    }

    pub fn freeze(&mut self, index: usize, span: Duration) {
        self.nodes[index].frozen_until = self.now + span.as_micros() as u64;
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        let from = self.nodes[from].peer.node;
        let to = self.nodes[to].peer.node;
        self.cuts.insert((from, to));
    }

    /// Cuts the connections of some nodes to all others, in both directions.
    pub fn partition(&mut self, group: &[usize]) {
        let inside = |index: &usize| group.contains(index);
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if inside(&a) != inside(&b) {
                    self.cut(a, b);
                }
            }
        }
    }

    pub fn step(&mut self) {
        self.now += STEP.as_micros() as u64;
        self.sent_sizes.clear();
        let later = self.in_flight.split_off(&(self.now + 1, 0));
        for (_, (from, to, bytes)) in std::mem::replace(&mut self.in_flight, later) {
            let node = &mut self.nodes[to.0 as usize];
            if node.up {
                node.inbox.push((from, bytes));
            }
        }
        for index in 0..self.nodes.len() {
            if self.is_running(index) {
                self.run(index);
            }
        }
    }

    fn run(&mut self, index: usize) {
        let now = Time(self.now);
        let node = &mut self.nodes[index];
        let from = node.peer.node;
        node.members.tick(now);
        for (from, bytes) in std::mem::take(&mut node.inbox) {
            node.members.receive(from, &bytes, now);
        }
        for packet in node.members.take_packets(now) {
            assert!(packet.bytes.len() <= members::MAX_DATAGRAM_BYTES);
            self.send(from, packet.to, packet.bytes);
        }
    }

    pub fn sent_by(&self, index: usize) -> Vec<usize> {
        let node = self.nodes[index].peer.node;
        self.sent_sizes.get(&node).cloned().unwrap_or_default()
    }

    fn send(&mut self, from: NodeId, to: NodeId, bytes: Vec<u8>) {
        self.sent_sizes.entry(from).or_default().push(bytes.len());
        let copies = 1 + u64::from(self.rng.f64() < self.conditions.duplicates);
        for _ in 0..copies {
            if self.cuts.contains(&(from, to)) || self.rng.f64() < self.conditions.loss {
                continue;
            }
            let (least, most) = self.conditions.delay_ms;
            let due = self.now + self.rng.u64(least..=most) * 1_000;
            self.sent_count += 1;
            self.in_flight
                .insert((due, self.sent_count), (from, to, bytes.clone()));
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        for _ in 0..span.as_millis() / STEP.as_millis() {
            self.step();
        }
    }

    /// A node's standing in another node's view.
    pub fn standing(&self, viewer: usize, of: usize) -> Standing {
        let view = self.nodes[viewer]
            .members
            .get(NodeId(of as u32), Time(self.now));
        view.map_or(Standing::Dead, |view| view.standing)
    }

    /// Whether every running node sees exactly the running nodes as alive.
    pub fn has_converged(&self) -> bool {
        let running: Vec<usize> = (0..self.nodes.len())
            .filter(|index| self.is_running(*index))
            .collect();
        running.iter().all(|viewer| {
            (0..self.nodes.len()).all(|of| {
                let alive = self.standing(*viewer, of) == Standing::Alive;
                alive == running.contains(&of)
            })
        })
    }

    /// Runs until the condition holds. Returns the time it took, if within `limit`.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if limit.as_micros() as u64 <= self.now - start {
                return None;
            }
            self.step();
        }
        Some(Duration::from_micros(self.now - start))
    }
}

/// The seeds of a test: the one in the variable `SEED`, otherwise 1 to `count`.
pub fn seeds(count: u64) -> Vec<u64> {
    match std::env::var("SEED") {
        Ok(seed) => vec![seed.parse().unwrap()],
        Err(_) => (1..=count).collect(),
    }
}
