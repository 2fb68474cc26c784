//! A simulated data centre with drifting clocks, a lossy network and seeded faults. Times are
//! in microseconds.

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

/// Time between two steps, on a clock without drift.
pub const STEP: Duration = Duration::from_millis(10);

/// Probability that a host reports its fencing number to a node in a step.
const REPORT_CHANCE: f64 = 0.05;

/// The faults that a schedule may contain.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss_rate: f64,
    pub max_delay_ms: u64,
    /// Largest deviation of a clock's speed, as a fraction.
    pub max_drift: f64,
    /// Probability of a fault in a step.
    pub fault_rate: f64,
}

/// Whether a node's clock runs while its process is frozen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clock {
    Runs,
    Stops,
}

pub struct Node {
    pub id: NodeId,
    pub lease: Lease,
    synced_promise: Option<Promise>,
    has_disk: bool,
    incarnation: u64,
    pub clock_speed: f64,
    clock_us: f64,
    frozen_until: Option<(u64, Clock)>,
    inbox: Vec<(NodeId, Message)>,
    /// When the clock stopped, until a renewal sent later is confirmed. Until then the node may
    /// believe in a tenure that has ended.
    pub in_doubt_since: Option<Time>,
}

pub struct World {
    pub now_us: u64,
    pub cfg: Config,
    pub nodes: Vec<Node>,
    pub rng: fastrand::Rng,
    pub faults: Faults,
    in_flight: Vec<(u64, NodeId, NodeId, Message)>,
    cut_links: BTreeMap<(NodeId, NodeId), u64>,
    /// The reference model: the node that held the lease last, with its fencing number.
    pub model_holder: Option<(NodeId, Fence)>,
    pub tenure_count: u32,
    /// Steps at which a node believed in a tenure while it was in doubt.
    pub doubted_steps: u32,
}

impl World {
    pub fn new(size: u32, seed: u64, faults: Faults) -> Self {
        Self::with_config(Config::with_granters((0..size).map(NodeId)), seed, faults)
    }

    pub fn with_config(cfg: Config, seed: u64, faults: Faults) -> Self {
        let granters = cfg.granters.clone();
        let mut world = Self {
            now_us: 0,
            cfg,
            nodes: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            faults,
            in_flight: Vec::new(),
            cut_links: BTreeMap::new(),
            model_holder: None,
            tenure_count: 0,
            doubted_steps: 0,
        };
        for id in granters {
            let node = world.new_node(id);
            world.nodes.push(node);
        }
        world
    }

    fn new_node(&mut self, id: NodeId) -> Node {
        let clock_us = self.rng.f64() * 1e9;
        let now = Time(clock_us as u64);
        let wall = self.wall_time();
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
            synced_promise: None,
            has_disk: self.rng.bool(),
            incarnation: 1,
            clock_speed: 1.0
                + self.faults.max_drift * self.rng.choice([-1.0, 0.0, 1.0]).unwrap_or(0.0),
            clock_us,
            frozen_until: None,
            inbox: Vec::new(),
            in_doubt_since: None,
        }
    }

    pub fn wall_time(&self) -> WallTime {
        WallTime(1_700_000_000 + self.now_us / 1_000_000)
    }

    pub fn step(&mut self) {
        let dt = STEP.as_micros() as u64;
        self.now_us += dt;
        for node in &mut self.nodes {
            if !matches!(node.frozen_until, Some((_, Clock::Stops))) {
                node.clock_us += dt as f64 * node.clock_speed;
            }
            if node
                .frozen_until
                .is_some_and(|(until, _)| until <= self.now_us)
            {
                node.frozen_until = None;
            }
        }
        self.deliver();
        for index in 0..self.nodes.len() {
            self.run_node(index);
            self.check_tenure(index);
        }
    }

    fn deliver(&mut self) {
        let now = self.now_us;
        let (due, later) = self.in_flight.drain(..).partition(|(at, ..)| *at <= now);
        self.in_flight = later;
        let due: Vec<(u64, NodeId, NodeId, Message)> = due;
        for (_, from, to, message) in due {
            self.nodes[to.0 as usize].inbox.push((from, message));
        }
    }

    fn run_node(&mut self, index: usize) {
        let wall = self.wall_time();
        let node = &mut self.nodes[index];
        if node.frozen_until.is_some() {
            return;
        }
        let now = Time(node.clock_us as u64);
        if let Some((_, fence)) = self.model_holder
            && self.rng.f64() < REPORT_CHANCE
        {
            node.lease.observe_fence(fence);
        }
        let mut outputs = Vec::new();
        for (from, message) in std::mem::take(&mut node.inbox) {
            outputs.extend(node.lease.receive(from, message, now));
        }
        outputs.extend(node.lease.tick(wall, now));
        self.send_all(index, outputs);
    }

    pub fn send_all(&mut self, index: usize, outputs: Vec<Output>) {
        let from = self.nodes[index].id;
        for Output {
            sync_first,
            outgoing,
        } in outputs
        {
            if let Some(promise) = sync_first {
                self.nodes[index].synced_promise = Some(promise);
            }
            let copies = 1 + u8::from(self.rng.f64() < self.faults.loss_rate / 2.0);
            for _ in 0..copies {
                let is_cut = self
                    .cut_links
                    .get(&(from, outgoing.to))
                    .is_some_and(|t| self.now_us < *t);
                let is_lost = from != outgoing.to && self.rng.f64() < self.faults.loss_rate;
                if !is_cut && !is_lost {
                    let delay = self.rng.u64(0..=self.faults.max_delay_ms) * 1_000;
                    let due = self.now_us + delay;
                    self.in_flight
                        .push((due, from, outgoing.to, outgoing.message));
                }
            }
        }
    }

    /// Checks a tenure against the reference model.
    fn check_tenure(&mut self, index: usize) {
        let Some(tenure) = self.tenure(index) else {
            return;
        };
        let node = &mut self.nodes[index];
        let candidate = &node.lease.candidate;
        let now = Time(node.clock_us as u64);
        let in_doubt_since = node.in_doubt_since;
        node.in_doubt_since =
            in_doubt_since.filter(|since| !candidate.confirmed_since(tenure.fence, *since, now));
        if node.in_doubt_since.is_some() {
            self.doubted_steps += 1;
            return;
        }
        let holder = (node.id, tenure.fence);
        let other = (0..self.nodes.len()).find(|i| *i != index && self.can_act(*i));
        assert_eq!(other, None, "two tenures at {}", self.now_us);
        if self.model_holder == Some(holder) {
            return;
        }
        if let Some((_, before)) = self.model_holder {
            assert!(before < tenure.fence, "{before} before {}", tenure.fence);
        }
        self.model_holder = Some(holder);
        self.tenure_count += 1;
    }

    /// Whether a node holds a tenure and is neither frozen nor in doubt.
    fn can_act(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.frozen_until.is_none() && node.in_doubt_since.is_none() && self.tenure(index).is_some()
    }

    /// The time on a node's own clock.
    pub fn clock(&self, index: usize) -> Time {
        Time(self.nodes[index].clock_us as u64)
    }

    pub fn tenure(&self, index: usize) -> Option<Tenure> {
        let node = &self.nodes[index];
        if node.frozen_until.is_some() {
            return None;
        }
        node.lease.candidate.tenure(Time(node.clock_us as u64))
    }

    pub fn holder(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|index| self.can_act(*index))
    }

    pub fn freeze(&mut self, index: usize, span: Duration, clock: Clock) {
        let node = &mut self.nodes[index];
        node.frozen_until = Some((self.now_us + span.as_micros() as u64, clock));
        if clock == Clock::Stops {
            node.in_doubt_since = Some(Time(node.clock_us as u64 + 1));
        }
    }

    pub fn restart(&mut self, index: usize) {
        let wall = self.wall_time();
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        node.clock_us += 1.0;
        node.inbox.clear();
        node.frozen_until = None;
        node.in_doubt_since = None;
        let persisted = match node.synced_promise {
            Some(promise) if node.has_disk => PersistedState::Kept(promise),
            _ => PersistedState::Lost,
        };
        let incarnation = Incarnation(node.incarnation);
        let now = Time(node.clock_us as u64);
        let cfg = self.cfg.clone();
        node.lease = Lease::new(cfg, node.id, incarnation, persisted, wall, now);
    }

    /// Drops all messages from one node to another for this long.
    pub fn cut_link(&mut self, from: u32, to: u32, span: Duration) {
        let until = self.now_us + span.as_micros() as u64;
        self.cut_links.insert((NodeId(from), NodeId(to)), until);
    }

    pub fn heal(&mut self) {
        self.cut_links.clear();
        for node in &mut self.nodes {
            node.frozen_until = None;
        }
        self.faults.fault_rate = 0.0;
        self.faults.loss_rate = 0.0;
        self.faults.max_delay_ms = 2;
    }
}
