//! Fake engines, two controllers, three entry nodes and a network that delays,
//! loses and doubles, all in virtual time, with the invariants checked after each step.
//!
//! A fake group computes only while all its hosts are ready in the same
//! assignment: ranks of a group wait for each other. An engine that ignores
//! fencing numbers neither checks what replica a request names: it answers for
//! whatever it holds, and says so in the answer.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod check;
mod engine;
mod process;

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use base::CentreId;
use base::DomainId;
use base::Fencing;
use base::HostId;
use base::HostReport;
use base::Incarnation;
use base::ModelName;
use base::NodeId;
use base::ReplicaId;
use base::Time;
use plan::Action;
use plan::Config;
use plan::Controller;
use plan::Demand;
use plan::Order;
use plan::OrderId;
use plan::OrderOutcome;
use plan::RouteGrant;
use plan::RoutePoll;
use plan::RouteTable;

pub use engine::Engine;
pub use process::Control;
pub use process::Entry;
pub use process::Lease;

pub const STEP: Duration = Duration::from_millis(100);

#[derive(Clone)]
pub enum Message {
    Report(usize, HostReport),
    Heard(usize, HostReport),
    Order(usize, Order),
    Outcome(usize, OrderId, OrderOutcome),
    Poll(usize, usize, RoutePoll),
    Grant(usize, RouteGrant),
}

/// How bad the network is.
#[derive(Clone, Copy)]
pub struct Net {
    pub max_delay_ms: u64,
    pub loss: f64,
    pub double: f64,
}

#[derive(Clone)]
pub struct World {
    pub seed: u64,
    pub now: Time,
    pub rng: Rng,
    pub net: Net,
    pub cfg: Config,
    pub engines: BTreeMap<HostId, Engine>,
    pub controls: Vec<Control>,
    pub entries: Vec<Entry>,
    pub lease: Lease,
    pub demand: BTreeMap<ModelName, Demand>,
    /// Every order ever given out.
    pub given: Vec<Order>,
    /// Answers delivered as good.
    pub good: u64,
    wire: BTreeMap<(Time, u64), Message>,
    sent: u64,
    groups: BTreeMap<ReplicaId, Vec<HostId>>,
}

pub fn model(name: &str) -> ModelName {
    name.parse().unwrap()
}

pub fn demand(width: usize, min: usize, wanted: usize) -> Demand {
    Demand {
        width,
        min,
        max: wanted.max(min),
        wanted,
    }
}

/// The seeds to run: the one in `SEED`, or the first `count`.
pub fn seeds(count: u64) -> Vec<u64> {
    match std::env::var("SEED") {
        Ok(seed) => vec![seed.parse().unwrap()],
        Err(_) => (1..=count).collect(),
    }
}

impl Default for Net {
    fn default() -> Self {
        Self {
            max_delay_ms: 20,
            loss: 0.0,
            double: 0.0,
        }
    }
}

impl World {
    /// Domains with this many hosts each.
    pub fn open(seed: u64, domains: &[usize], fencing: Fencing) -> Self {
        let cfg = Config {
            expected_load_time: Duration::from_secs(5),
            max_hold_down: Duration::from_secs(20),
            surplus_drain_delay: Duration::from_secs(5),
            ..Config::for_centre(CentreId(1))
        };
        let mut engines = BTreeMap::new();
        for (domain, count) in domains.iter().enumerate() {
            for _ in 0..*count {
                let id = HostId(engines.len() as u32);
                engines.insert(id, Engine::open(id, DomainId(domain as u32), fencing));
            }
        }
        let control = |at| Control::open(Controller::new(cfg.clone(), Time::ZERO), at);
        let table = |at| RouteTable::new(NodeId(at), Incarnation(1));
        Self {
            seed,
            now: Time::from_millis(1_000),
            rng: Rng::with_seed(seed),
            net: Net::default(),
            engines,
            controls: (0..2).map(control).collect(),
            entries: (0..3).map(|at| Entry::open(table(at))).collect(),
            lease: Lease::default(),
            demand: BTreeMap::new(),
            given: Vec::new(),
            good: 0,
            wire: BTreeMap::new(),
            sent: 0,
            groups: BTreeMap::new(),
            cfg,
        }
    }

    /// Lets entry nodes go on with a route this long without a controller.
    pub fn hold(mut self, hold: Duration) -> Self {
        self.cfg.hold_limit = hold;
        let control = |at| Control::open(Controller::new(self.cfg.clone(), Time::ZERO), at);
        self.controls = (0..2).map(control).collect();
        self
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the demand is met, for at most this long. True if it is.
    pub fn run_until_met(&mut self, limit: Duration) -> bool {
        let end = self.now + limit;
        while self.now < end && !self.is_met() {
            self.step();
        }
        self.is_met()
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        self.step_engines();
        self.step_controls();
        self.step_entries();
        self.check();
    }

    /// The controller that truly holds the lease.
    pub fn holder(&self) -> Option<usize> {
        self.lease.holder.filter(|_| self.now < self.lease.until)
    }

    /// Replicas that serve, by the word of the controller in charge.
    pub fn serving(&self) -> BTreeMap<ModelName, usize> {
        let mut serving = BTreeMap::new();
        let table = &self.entries[0];
        for (model, count) in table.table.valid_route_counts(table.clock.at(self.now)) {
            serving.insert(model, count);
        }
        serving
    }

    pub fn serves(&self, name: &str) -> usize {
        self.serving().get(&model(name)).copied().unwrap_or(0)
    }

    /// The replicas, as the controller in charge has them.
    pub fn status(&self) -> plan::Status {
        let control = &self.controls[self.holder().unwrap()];
        control.controller.status(control.clock.at(self.now))
    }

    /// An engine, to do something to it.
    pub fn engine(&mut self, id: u32) -> &mut Engine {
        self.engines.get_mut(&HostId(id)).unwrap()
    }

    /// Hosts named by orders to form that were given out since the `from`th order.
    pub fn formed_since(&self, from: usize) -> Vec<HostId> {
        let forms = self.given[from..].iter();
        let forms = forms.filter(|order| order.action != Action::Release);
        forms.map(|order| order.host).collect()
    }

    /// Delivers an order however late, whoever gave it.
    pub fn deliver_late(&mut self, order: &Order) {
        if let Some(engine) = self.engines.get_mut(&order.host) {
            engine.take(order, self.now);
        }
    }

    fn send(&mut self, message: impl Fn() -> Message) {
        let copies = 1 + u64::from(self.rng.f64() < self.net.double);
        for _ in 0..copies {
            if self.net.loss <= self.rng.f64() {
                let delay = Duration::from_millis(self.rng.u64(1..=self.net.max_delay_ms));
                self.sent += 1;
                self.wire.insert((self.now + delay, self.sent), message());
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.wire.first_entry() {
            if self.now < first.key().0 {
                return;
            }
            let message = first.remove();
            self.receive(message);
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Report(at, report) => {
                let control = &mut self.controls[at];
                if control.hears(self.now) {
                    let now = control.clock.at(self.now);
                    control.controller.receive_report(&report, now);
                } else if control.is_frozen(self.now) {
                    control.queue.push(Message::Report(at, report));
                }
            }
            Message::Heard(at, report) => {
                let entry = &mut self.entries[at];
                if entry.is_frozen(self.now) {
                    entry.queue.push(report);
                } else if entry.cut_until <= self.now {
                    let now = entry.clock.at(self.now);
                    entry.table.receive_report(&report, now);
                }
            }
            Message::Order(at, order) => {
                let engine = self.engines.get_mut(&order.host).unwrap();
                if let Some(outcome) = engine.take(&order, self.now) {
                    self.send(|| Message::Outcome(at, order.id, outcome));
                }
            }
            Message::Outcome(at, id, outcome) => {
                let control = &mut self.controls[at];
                if control.hears(self.now) {
                    let now = control.clock.at(self.now);
                    control.controller.record_outcome(id, outcome, now);
                }
            }
            Message::Poll(at, entry, poll) => {
                let control = &mut self.controls[at];
                if control.hears(self.now) {
                    let now = control.clock.at(self.now);
                    if let Some(grant) = control.controller.answer_poll(&poll, now) {
                        self.send(|| Message::Grant(entry, grant.clone()));
                    }
                }
            }
            Message::Grant(at, grant) => {
                let entry = &mut self.entries[at];
                if !entry.is_frozen(self.now) {
                    entry.table.apply_grant(&grant);
                    entry.next_poll = self.now + Duration::from_millis(500);
                }
            }
        }
    }

    fn step_engines(&mut self) {
        let mut reports = Vec::new();
        for engine in self.engines.values_mut() {
            reports.extend(engine.step(self.now));
        }
        for report in reports {
            for at in 0..self.controls.len() {
                self.send(|| Message::Report(at, report.clone()));
            }
            for at in 0..self.entries.len() {
                self.send(|| Message::Heard(at, report.clone()));
            }
        }
    }

    fn step_controls(&mut self) {
        for at in 0..self.controls.len() {
            self.lease.renew(at, &mut self.controls[at], self.now);
            if self.controls[at].is_frozen(self.now) {
                continue;
            }
            for message in std::mem::take(&mut self.controls[at].queue) {
                self.receive(message);
            }
            self.send_held(at);
            let demand = self.demand.clone();
            let control = &mut self.controls[at];
            let now = control.clock.at(self.now);
            control.controller.set_demand(demand);
            let orders = control.controller.tick(control.tenure, now);
            for order in orders {
                self.check_order(at, &order);
                self.given.push(order.clone());
                let delay = Duration::from_millis(self.rng.u64(0..300));
                self.controls[at].held.push((self.now + delay, order));
            }
        }
    }

    /// Sends the orders that the process has prepared, each checked right before.
    fn send_held(&mut self, at: usize) {
        let control = &mut self.controls[at];
        let now = control.clock.at(self.now);
        let held = std::mem::take(&mut control.held);
        for (due, order) in held {
            let control = &mut self.controls[at];
            if self.now < due {
                control.held.push((due, order));
            } else if !control.controller.may_send_order(order.id, now) {
                let outcome = OrderOutcome::Refused;
                control.controller.record_outcome(order.id, outcome, now);
            } else if control.hears(self.now) {
                self.send(|| Message::Order(at, order.clone()));
            }
        }
    }

    fn step_entries(&mut self) {
        for at in 0..self.entries.len() {
            if self.entries[at].is_frozen(self.now) {
                continue;
            }
            let entry = &mut self.entries[at];
            for report in std::mem::take(&mut entry.queue) {
                entry
                    .table
                    .receive_report(&report, entry.clock.at(self.now));
            }
            if entry.next_poll <= self.now {
                entry.next_poll = self.now + Duration::from_secs(1);
                let poll = entry.table.next_poll(CentreId(1), entry.clock.at(self.now));
                let is_cut = self.now < entry.cut_until;
                for to in (0..self.controls.len()).filter(|_| !is_cut) {
                    self.send(|| Message::Poll(to, at, poll));
                }
            }
            self.send_requests(at);
        }
    }

    fn send_requests(&mut self, at: usize) {
        for model in self.demand.keys().cloned().collect::<Vec<_>>() {
            let entry = &self.entries[at];
            let now = entry.clock.at(self.now);
            let routes = entry.table.valid_routes(&model, now);
            let Some(route) = self.rng.choice(routes).cloned() else {
                continue;
            };
            assert!(entry.table.allows_route(route.replica, route.fence, now));
            self.check_request(at, &route);
            let first = &self.engines[&route.hosts[0]];
            let Some(answer) = first.answer(&route, &self.engines) else {
                continue;
            };
            if (answer.replica, answer.fence) == (route.replica, route.fence) {
                self.check_answer(&route);
                self.good += 1;
            }
        }
    }

    /// True if the first entry node has routes to just the replicas in demand.
    pub fn is_met(&self) -> bool {
        let serving = self.serving();
        let enough = |(model, demand): (&ModelName, &Demand)| {
            serving.get(model).copied().unwrap_or(0) == demand.target_replicas()
        };
        self.demand.iter().all(enough)
    }
}
