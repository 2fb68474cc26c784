//! A small fake network of members: loss, delay, duplicates, cuts, by seed.

#![allow(dead_code)] // Each test file uses a part of it.

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

/// Virtual time between two steps.
pub const STEP: Duration = Duration::from_millis(50);

/// What the network does.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    pub loss: f64,
    pub duplicates: f64,
    pub delay_ms: (u64, u64),
}

pub const CALM: Net = Net {
    loss: 0.0,
    duplicates: 0.0,
    delay_ms: (1, 8),
};

pub const ROUGH: Net = Net {
    loss: 0.2,
    duplicates: 0.05,
    delay_ms: (1, 90),
};

pub struct Node {
    pub peer: Peer,
    pub members: Members,
    /// Not started, crashed, or frozen if `frozen_until` says so.
    pub up: bool,
    pub frozen_until: u64,
    pub life: u64,
    inbox: Vec<(NodeId, Vec<u8>)>,
}

pub struct World {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub rng: fastrand::Rng,
    pub net: Net,
    /// Directed pairs that lose everything.
    pub cuts: BTreeSet<(NodeId, NodeId)>,
    queue: BTreeMap<(u64, u64), (NodeId, NodeId, Vec<u8>)>,
    sent: u64,
    /// Sizes of the datagrams sent in the last step.
    sizes: BTreeMap<NodeId, Vec<usize>>,
}

pub fn peer(node: u32, per_centre: u32) -> Peer {
    Peer {
        node: NodeId(node),
        centre: CentreId(node / per_centre),
        addr: ([10, 0, (node >> 8) as u8, node as u8], 7_000).into(),
    }
}

impl Node {
    fn of(peer: Peer, members: Members) -> Self {
        Self {
            peer,
            members,
            up: true,
            frozen_until: 0,
            life: 1,
            inbox: Vec::new(),
        }
    }
}

impl World {
    pub fn open(centres: u32, per_centre: u32, seed: u64, net: Net) -> Self {
        let mut world = Self {
            now: 1_000_000,
            nodes: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            net,
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            sent: 0,
            sizes: BTreeMap::new(),
        };
        let peers: Vec<Peer> = (0..centres * per_centre)
            .map(|node| peer(node, per_centre))
            .collect();
        for me in &peers {
            let members = world.members(*me, &peers, 1);
            world.nodes.push(Node::of(*me, members));
        }
        world
    }

    fn members(&mut self, me: Peer, peers: &[Peer], life: u64) -> Members {
        let others = peers.iter().copied().filter(|peer| *peer != me);
        let cfg = Config {
            me,
            incarnation: Incarnation(life),
            seed_peers: others.collect(),
            rng_seed: self.rng.u64(..),
            timing: Timing::default(),
        };
        Members::new(cfg, Time(self.now))
    }

    /// Adds a node that knows the others, while they do not know it.
    pub fn join(&mut self, me: Peer) -> usize {
        let peers: Vec<Peer> = self.nodes.iter().map(|node| node.peer).collect();
        let members = self.members(me, &peers, 1);
        self.nodes.push(Node::of(me, members));
        self.nodes.len() - 1
    }

    pub fn time(&self) -> Time {
        Time(self.now)
    }

    pub fn is_running(&self, at: usize) -> bool {
        self.nodes[at].up && self.nodes[at].frozen_until <= self.now
    }

    pub fn crash(&mut self, at: usize) {
        self.nodes[at].up = false;
    }

    pub fn restart(&mut self, at: usize) {
        let peers: Vec<Peer> = self.nodes.iter().map(|node| node.peer).collect();
        let life = self.nodes[at].life + 1;
        let members = self.members(peers[at], &peers, life);
        let node = &mut self.nodes[at];
        node.members = members;
        node.life = life;
        node.up = true;
        node.frozen_until = 0;
        node.inbox.clear();
    }

    pub fn freeze(&mut self, at: usize, span: Duration) {
        self.nodes[at].frozen_until = self.now + span.as_micros() as u64;
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        let from = self.nodes[from].peer.node;
        let to = self.nodes[to].peer.node;
        self.cuts.insert((from, to));
    }

    /// Cuts some nodes off from all others, both ways.
    pub fn part(&mut self, side: &[usize]) {
        let inside = |at: &usize| side.contains(at);
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
        self.sizes.clear();
        let later = self.queue.split_off(&(self.now + 1, 0));
        for (_, (from, to, bytes)) in std::mem::replace(&mut self.queue, later) {
            let node = &mut self.nodes[to.0 as usize];
            if node.up {
                node.inbox.push((from, bytes));
            }
        }
        for at in 0..self.nodes.len() {
            if self.is_running(at) {
                self.run(at);
            }
        }
    }

    fn run(&mut self, at: usize) {
        let now = Time(self.now);
        let node = &mut self.nodes[at];
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

    pub fn sent_by(&self, at: usize) -> Vec<usize> {
        let node = self.nodes[at].peer.node;
        self.sizes.get(&node).cloned().unwrap_or_default()
    }

    fn send(&mut self, from: NodeId, to: NodeId, bytes: Vec<u8>) {
        self.sizes.entry(from).or_default().push(bytes.len());
        let copies = 1 + u64::from(self.rng.f64() < self.net.duplicates);
        for _ in 0..copies {
            if self.cuts.contains(&(from, to)) || self.rng.f64() < self.net.loss {
                continue;
            }
            let (least, most) = self.net.delay_ms;
            let due = self.now + self.rng.u64(least..=most) * 1_000;
            self.sent += 1;
            self.queue
                .insert((due, self.sent), (from, to, bytes.clone()));
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        for _ in 0..span.as_millis() / STEP.as_millis() {
            self.step();
        }
    }

    /// How a node stands in another's view.
    pub fn standing(&self, viewer: usize, of: usize) -> Standing {
        let view = self.nodes[viewer]
            .members
            .get(NodeId(of as u32), Time(self.now));
        view.map_or(Standing::Dead, |view| view.standing)
    }

    /// Whether all running nodes see all running nodes as alive and no other.
    pub fn is_settled(&self) -> bool {
        let running: Vec<usize> = (0..self.nodes.len())
            .filter(|at| self.is_running(*at))
            .collect();
        running.iter().all(|viewer| {
            (0..self.nodes.len()).all(|of| {
                let alive = self.standing(*viewer, of) == Standing::Alive;
                alive == running.contains(&of)
            })
        })
    }

    /// Time until the condition holds, if it does within the limit.
    pub fn until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let begun = self.now;
        while !done(self) {
            if limit.as_micros() as u64 <= self.now - begun {
                return None;
            }
            self.step();
        }
        Some(Duration::from_micros(self.now - begun))
    }
}

/// The seeds of a test: the one in `SEED`, else the first so many.
pub fn seeds(count: u64) -> Vec<u64> {
    match std::env::var("SEED") {
        Ok(seed) => vec![seed.parse().unwrap()],
        Err(_) => (1..=count).collect(),
    }
}
