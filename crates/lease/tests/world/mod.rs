//! A small fake of one data centre: clocks, a lossy network, faults by seed.

use std::collections::BTreeMap;
use std::time::Duration;

use base::Fence;
use base::Incarnation;
use base::NodeId;
use base::Time;
use lease::Config;
use lease::Lease;
use lease::Message;
use lease::Output;
use lease::PersistedState;
use lease::Promise;
use lease::Tenure;
use lease::WallTime;

/// True time between two steps.
pub const STEP: Duration = Duration::from_millis(10);

/// Chance that a host reports its fencing number to a node in a step.
const REPORT: f64 = 0.05;

/// What a schedule may do.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss: f64,
    pub max_delay_ms: u64,
    /// Largest drift of a clock, as a share.
    pub drift: f64,
    /// Chance of a fault at a step.
    pub rate: f64,
}

/// Whether a clock goes on while its process does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clock {
    GoesOn,
    Stops,
}

pub struct Node {
    pub id: NodeId,
    pub lease: Lease,
    disk: Option<Promise>,
    has_disk: bool,
    incarnation: u64,
    pub speed: f64,
    local: f64,
    frozen: Option<(u64, Clock)>,
    inbox: Vec<(NodeId, Message)>,
    /// When the clock stood still, until a renewal sent later was confirmed.
    pub doubt: Option<Time>,
}

pub struct World {
    pub now: u64,
    pub cfg: Config,
    pub nodes: Vec<Node>,
    pub rng: fastrand::Rng,
    pub faults: Faults,
    net: Vec<(u64, NodeId, NodeId, Message)>,
    cut: BTreeMap<(NodeId, NodeId), u64>,
    /// The naive model: who owned last, with which number.
    pub owner: Option<(NodeId, Fence)>,
    pub tenures: u32,
    /// Steps at which a node believed in a tenure in doubt.
    pub doubted: u32,
}

impl World {
    pub fn open(size: u32, seed: u64, faults: Faults) -> Self {
        Self::with(Config::with_granters((0..size).map(NodeId)), seed, faults)
    }

    pub fn with(cfg: Config, seed: u64, faults: Faults) -> Self {
        let granters = cfg.granters.clone();
        let mut world = Self {
            now: 0,
            cfg,
            nodes: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            faults,
            net: Vec::new(),
            cut: BTreeMap::new(),
            owner: None,
            tenures: 0,
            doubted: 0,
        };
        for id in granters {
            let node = world.node(id);
            world.nodes.push(node);
        }
        world
    }

    fn node(&mut self, id: NodeId) -> Node {
        let local = self.rng.f64() * 1e9;
        let now = Time(local as u64);
        let wall = self.wall();
        let lease = Lease::new(
            self.cfg.clone(),
            id,
            Incarnation(1),
            PersistedState::Lost,
            wall,
            now,
        );
        Node {
            id,
            lease,
            disk: None,
            has_disk: self.rng.bool(),
            incarnation: 1,
            speed: 1.0 + self.faults.drift * self.rng.choice([-1.0, 0.0, 1.0]).unwrap_or(0.0),
            local,
            frozen: None,
            inbox: Vec::new(),
            doubt: None,
        }
    }

    pub fn wall(&self) -> WallTime {
        WallTime(1_700_000_000 + self.now / 1_000_000)
    }

    pub fn step(&mut self) {
        let dt = STEP.as_micros() as u64;
        self.now += dt;
        for node in &mut self.nodes {
            if !matches!(node.frozen, Some((_, Clock::Stops))) {
                node.local += dt as f64 * node.speed;
            }
            if node.frozen.is_some_and(|(until, _)| until <= self.now) {
                node.frozen = None;
            }
        }
        self.deliver();
        for at in 0..self.nodes.len() {
            self.run(at);
            self.check(at);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self.net.drain(..).partition(|(at, ..)| *at <= now);
        self.net = later;
        let due: Vec<(u64, NodeId, NodeId, Message)> = due;
        for (_, from, to, message) in due {
            self.nodes[to.0 as usize].inbox.push((from, message));
        }
    }

    fn run(&mut self, at: usize) {
        let wall = self.wall();
        let node = &mut self.nodes[at];
        if node.frozen.is_some() {
            return;
        }
        let now = Time(node.local as u64);
        if let Some((_, fence)) = self.owner
            && self.rng.f64() < REPORT
        {
            node.lease.observe_fence(fence);
        }
        let mut outputs = Vec::new();
        for (from, message) in std::mem::take(&mut node.inbox) {
            outputs.extend(node.lease.receive(from, message, now));
        }
        outputs.extend(node.lease.tick(wall, now));
        self.send(at, outputs);
    }

    pub fn send(&mut self, at: usize, outputs: Vec<Output>) {
        let from = self.nodes[at].id;
        for Output {
            sync_first,
            outgoing,
        } in outputs
        {
            if let Some(promise) = sync_first {
                self.nodes[at].disk = Some(promise);
            }
            let copies = 1 + u8::from(self.rng.f64() < self.faults.loss / 2.0);
            for _ in 0..copies {
                let is_cut = self
                    .cut
                    .get(&(from, outgoing.to))
                    .is_some_and(|t| self.now < *t);
                let is_lost = from != outgoing.to && self.rng.f64() < self.faults.loss;
                if !is_cut && !is_lost {
                    let delay = self.rng.u64(0..=self.faults.max_delay_ms) * 1_000;
                    let due = self.now + delay;
                    self.net.push((due, from, outgoing.to, outgoing.message));
                }
            }
        }
    }

    /// Holds each tenure against the naive model: one owner, larger numbers.
    fn check(&mut self, at: usize) {
        let Some(tenure) = self.tenure(at) else {
            return;
        };
        let node = &mut self.nodes[at];
        let candidate = &node.lease.candidate;
        let now = Time(node.local as u64);
        let doubt = node.doubt;
        node.doubt = doubt.filter(|from| !candidate.confirmed_since(tenure.fence, *from, now));
        if node.doubt.is_some() {
            self.doubted += 1;
            return;
        }
        let mine = (node.id, tenure.fence);
        let other = (0..self.nodes.len()).find(|i| *i != at && self.acts(*i));
        assert_eq!(other, None, "two tenures at {}", self.now);
        if self.owner == Some(mine) {
            return;
        }
        if let Some((_, before)) = self.owner {
            assert!(before < tenure.fence, "{before} before {}", tenure.fence);
        }
        self.owner = Some(mine);
        self.tenures += 1;
    }

    /// Whether a node could act on a tenure now, its clock being in order.
    fn acts(&self, at: usize) -> bool {
        let node = &self.nodes[at];
        node.frozen.is_none() && node.doubt.is_none() && self.tenure(at).is_some()
    }

    /// What a node's own clock shows.
    pub fn clock(&self, at: usize) -> Time {
        Time(self.nodes[at].local as u64)
    }

    pub fn tenure(&self, at: usize) -> Option<Tenure> {
        let node = &self.nodes[at];
        if node.frozen.is_some() {
            return None;
        }
        node.lease.candidate.tenure(Time(node.local as u64))
    }

    pub fn holder(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|at| self.acts(*at))
    }

    pub fn freeze(&mut self, at: usize, span: Duration, clock: Clock) {
        let node = &mut self.nodes[at];
        node.frozen = Some((self.now + span.as_micros() as u64, clock));
        if clock == Clock::Stops {
            node.doubt = Some(Time(node.local as u64 + 1));
        }
    }

    pub fn restart(&mut self, at: usize) {
        let wall = self.wall();
        let node = &mut self.nodes[at];
        node.incarnation += 1;
        node.local += 1.0;
        node.inbox.clear();
        node.frozen = None;
        node.doubt = None;
        let memory = match node.disk {
            Some(promise) if node.has_disk => PersistedState::Kept(promise),
            _ => PersistedState::Lost,
        };
        let incarnation = Incarnation(node.incarnation);
        let now = Time(node.local as u64);
        let cfg = self.cfg.clone();
        node.lease = Lease::new(cfg, node.id, incarnation, memory, wall, now);
    }

    /// Cuts what goes from one node to another.
    pub fn cut(&mut self, from: u32, to: u32, span: Duration) {
        let until = self.now + span.as_micros() as u64;
        self.cut.insert((NodeId(from), NodeId(to)), until);
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        for node in &mut self.nodes {
            node.frozen = None;
        }
        self.faults.rate = 0.0;
        self.faults.loss = 0.0;
        self.faults.max_delay_ms = 2;
    }
}
