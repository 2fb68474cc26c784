//! A simulation in virtual time: fake engines, two controllers, three entry nodes and a
//! network that delays, loses and duplicates. It checks the invariants after each step.
//!
//! A fake replica answers only while all its hosts are ready in the same assignment, as
//! real ranks wait for each other. An engine that ignores fencing numbers doesn't check
//! either which replica a request names: it answers for the one that it holds, and names
//! that in the answer.

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
pub use process::ControllerProcess;
pub use process::EntryNode;
pub use process::Lease;

pub const STEP: Duration = Duration::from_millis(100);

/// A message with the index of the controller or entry node that sends or receives it.
#[derive(Clone)]
pub enum Message {
    ReportToController(usize, HostReport),
    ReportToEntry(usize, HostReport),
    Order(usize, Order),
    Outcome(usize, OrderId, OrderOutcome),
    Poll(usize, usize, RoutePoll),
    Grant(usize, RouteGrant),
}

/// The network's delays and faults.
#[derive(Clone, Copy)]
pub struct Network {
    pub max_delay_ms: u64,
    pub loss_probability: f64,
    pub duplicate_probability: f64,
}

#[derive(Clone)]
pub struct World {
    pub seed: u64,
    pub now: Time,
    pub rng: Rng,
    pub network: Network,
    pub cfg: Config,
    pub engines: BTreeMap<HostId, Engine>,
    pub controllers: Vec<ControllerProcess>,
    pub entry_nodes: Vec<EntryNode>,
    pub lease: Lease,
    pub demand: BTreeMap<ModelName, Demand>,
    /// Every order that a controller issued.
    pub issued_orders: Vec<Order>,
    /// Answers accepted as from the intended replica.
    pub accepted_answers: u64,
    in_flight: BTreeMap<(Time, u64), Message>,
    sent_count: u64,
    replica_hosts: BTreeMap<ReplicaId, Vec<HostId>>,
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

impl Default for Network {
    fn default() -> Self {
        Self {
            max_delay_ms: 20,
            loss_probability: 0.0,
            duplicate_probability: 0.0,
        }
    }
}

impl World {
    /// A world with a domain for each of these host counts.
    pub fn new(seed: u64, domains: &[usize], fencing: Fencing) -> Self {
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
                engines.insert(id, Engine::new(id, DomainId(domain as u32), fencing));
            }
        }
        let process =
            |index| ControllerProcess::new(Controller::new(cfg.clone(), Time::ZERO), index);
        let table = |index| RouteTable::new(NodeId(index), Incarnation(1));
        Self {
            seed,
            now: Time::from_millis(1_000),
            rng: Rng::with_seed(seed),
            network: Network::default(),
            engines,
            controllers: (0..2).map(process).collect(),
            entry_nodes: (0..3).map(|index| EntryNode::new(table(index))).collect(),
            lease: Lease::default(),
            demand: BTreeMap::new(),
            issued_orders: Vec::new(),
            accepted_answers: 0,
            in_flight: BTreeMap::new(),
            sent_count: 0,
            replica_hosts: BTreeMap::new(),
            cfg,
        }
    }

    /// Sets how long entry nodes may keep a route without a controller.
    pub fn with_hold_limit(mut self, hold: Duration) -> Self {
        self.cfg.hold_limit = hold;
        let process =
            |index| ControllerProcess::new(Controller::new(self.cfg.clone(), Time::ZERO), index);
        self.controllers = (0..2).map(process).collect();
        self
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the demand is met, for at most this long. Returns whether it is.
    pub fn run_until_demand_met(&mut self, limit: Duration) -> bool {
        let end = self.now + limit;
        while self.now < end && !self.is_demand_met() {
            self.step();
        }
        self.is_demand_met()
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver_due();
        self.step_engines();
        self.step_controllers();
        self.step_entry_nodes();
        self.check_owners();
    }

    /// The index of the controller that holds the lease.
    pub fn lease_holder(&self) -> Option<usize> {
        self.lease.holder.filter(|_| self.now < self.lease.until)
    }

    /// The number of valid routes to each model at the first entry node.
    pub fn serving_counts(&self) -> BTreeMap<ModelName, usize> {
        let mut serving = BTreeMap::new();
        let table = &self.entry_nodes[0];
        for (model, count) in table.table.valid_route_counts(table.clock.at(self.now)) {
            serving.insert(model, count);
        }
        serving
    }

    pub fn serving_count(&self, name: &str) -> usize {
        self.serving_counts()
            .get(&model(name))
            .copied()
            .unwrap_or(0)
    }

    /// The status as the lease holder reports it.
    pub fn status(&self) -> plan::Status {
        let process = &self.controllers[self.lease_holder().unwrap()];
        process.controller.status(process.clock.at(self.now))
    }

    pub fn engine(&mut self, id: u32) -> &mut Engine {
        self.engines.get_mut(&HostId(id)).unwrap()
    }

    /// Hosts of the orders to form from the `from`th order on.
    pub fn hosts_formed_since(&self, from: usize) -> Vec<HostId> {
        let forms = self.issued_orders[from..].iter();
        let forms = forms.filter(|order| order.action != Action::Release);
        forms.map(|order| order.host).collect()
    }

    /// Delivers an order without regard to its age or sender.
    pub fn deliver_late(&mut self, order: &Order) {
        if let Some(engine) = self.engines.get_mut(&order.host) {
            engine.receive_order(order, self.now);
        }
    }

    fn send(&mut self, message: impl Fn() -> Message) {
        let copies = 1 + u64::from(self.rng.f64() < self.network.duplicate_probability);
        for _ in 0..copies {
            if self.network.loss_probability <= self.rng.f64() {
                let delay = Duration::from_millis(self.rng.u64(1..=self.network.max_delay_ms));
                self.sent_count += 1;
                self.in_flight
                    .insert((self.now + delay, self.sent_count), message());
            }
        }
    }

    fn deliver_due(&mut self) {
        while let Some(first) = self.in_flight.first_entry() {
            if self.now < first.key().0 {
                return;
            }
            let message = first.remove();
            self.receive(message);
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::ReportToController(index, report) => {
                let process = &mut self.controllers[index];
                if process.is_reachable(self.now) {
                    let now = process.clock.at(self.now);
                    process.controller.receive_report(&report, now);
                } else if process.is_frozen(self.now) {
                    process
                        .queued
                        .push(Message::ReportToController(index, report));
                }
            }
            Message::ReportToEntry(index, report) => {
                let entry = &mut self.entry_nodes[index];
                if entry.is_frozen(self.now) {
                    entry.queued.push(report);
                } else if entry.unreachable_until <= self.now {
                    let now = entry.clock.at(self.now);
                    entry.table.receive_report(&report, now);
                }
            }
            Message::Order(index, order) => {
                let engine = self.engines.get_mut(&order.host).unwrap();
                if let Some(outcome) = engine.receive_order(&order, self.now) {
                    self.send(|| Message::Outcome(index, order.id, outcome));
                }
            }
            Message::Outcome(index, id, outcome) => {
                let process = &mut self.controllers[index];
                if process.is_reachable(self.now) {
                    let now = process.clock.at(self.now);
                    process.controller.record_outcome(id, outcome, now);
                }
            }
            Message::Poll(index, entry, poll) => {
                let process = &mut self.controllers[index];
                if process.is_reachable(self.now) {
                    let now = process.clock.at(self.now);
                    if let Some(grant) = process.controller.answer_poll(&poll, now) {
                        self.send(|| Message::Grant(entry, grant.clone()));
                    }
                }
            }
            Message::Grant(index, grant) => {
                let entry = &mut self.entry_nodes[index];
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
            for index in 0..self.controllers.len() {
                self.send(|| Message::ReportToController(index, report.clone()));
            }
            for index in 0..self.entry_nodes.len() {
                self.send(|| Message::ReportToEntry(index, report.clone()));
            }
        }
    }

    fn step_controllers(&mut self) {
        for index in 0..self.controllers.len() {
            self.lease
                .renew(index, &mut self.controllers[index], self.now);
            if self.controllers[index].is_frozen(self.now) {
                continue;
            }
            for message in std::mem::take(&mut self.controllers[index].queued) {
                self.receive(message);
            }
            self.send_due_orders(index);
            let demand = self.demand.clone();
            let process = &mut self.controllers[index];
            let now = process.clock.at(self.now);
            process.controller.set_demand(demand);
            let orders = process.controller.tick(process.tenure, now);
            for order in orders {
                self.check_order(index, &order);
                self.issued_orders.push(order.clone());
                let delay = Duration::from_millis(self.rng.u64(0..300));
                self.controllers[index]
                    .unsent_orders
                    .push((self.now + delay, order));
            }
        }
    }

    /// Sends the orders that are due, each checked right before.
    fn send_due_orders(&mut self, index: usize) {
        let process = &mut self.controllers[index];
        let now = process.clock.at(self.now);
        let held = std::mem::take(&mut process.unsent_orders);
        for (due, order) in held {
            let process = &mut self.controllers[index];
            if self.now < due {
                process.unsent_orders.push((due, order));
            } else if !process.controller.may_send_order(order.id, now) {
                let outcome = OrderOutcome::Refused;
                process.controller.record_outcome(order.id, outcome, now);
            } else if process.is_reachable(self.now) {
                self.send(|| Message::Order(index, order.clone()));
            }
        }
    }

    fn step_entry_nodes(&mut self) {
        for index in 0..self.entry_nodes.len() {
            if self.entry_nodes[index].is_frozen(self.now) {
                continue;
            }
            let entry = &mut self.entry_nodes[index];
            for report in std::mem::take(&mut entry.queued) {
                entry
                    .table
                    .receive_report(&report, entry.clock.at(self.now));
            }
            if entry.next_poll <= self.now {
                entry.next_poll = self.now + Duration::from_secs(1);
                let poll = entry.table.next_poll(CentreId(1), entry.clock.at(self.now));
                let is_cut = self.now < entry.unreachable_until;
                for to in (0..self.controllers.len()).filter(|_| !is_cut) {
                    self.send(|| Message::Poll(to, index, poll));
                }
            }
            self.send_requests(index);
        }
    }

    fn send_requests(&mut self, index: usize) {
        for model in self.demand.keys().cloned().collect::<Vec<_>>() {
            let entry = &self.entry_nodes[index];
            let now = entry.clock.at(self.now);
            let routes = entry.table.valid_routes(&model, now);
            let Some(route) = self.rng.choice(routes).cloned() else {
                continue;
            };
            assert!(entry.table.allows_route(route.replica, route.fence, now));
            self.check_request(index, &route);
            let first = &self.engines[&route.hosts[0]];
            let Some(answer) = first.answer(&route, &self.engines) else {
                continue;
            };
            if (answer.replica, answer.fence) == (route.replica, route.fence) {
                self.check_answer(&route);
                self.accepted_answers += 1;
            }
        }
    }

    /// True if the first entry node has exactly the demanded number of routes to each model.
    pub fn is_demand_met(&self) -> bool {
        let serving = self.serving_counts();
        let enough = |(model, demand): (&ModelName, &Demand)| {
            serving.get(model).copied().unwrap_or(0) == demand.target_replicas()
        };
        self.demand.iter().all(enough)
    }
}
