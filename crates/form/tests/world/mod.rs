//! Engines' hosts that obey orders as real ones do, and a controller that gives them.
//!
//! It checks what must always hold: no host joins elsewhere while the first host of its
//! replica serves, and none serves without all its hosts having been ready.

#![allow(dead_code)]

mod checks;
mod host;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use fastrand::Rng;

use self::host::Host;
use self::host::Part;
use self::host::announcement;
use base::Fence;
use base::Time;
use base::UpstreamId;
use fleet::EngineConfig;
use fleet::EngineModel;
use fleet::PlaceState;
use form::Action;
use form::Config;
use form::Controller;
use form::Order;
use form::Outcome;

const STEP: Duration = Duration::from_millis(20);
const BEAT: Duration = Duration::from_millis(1_200);
const REJOIN: Duration = Duration::from_millis(200);
const OPEN: Duration = Duration::from_millis(300);

/// How orders go wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Part of the orders whose answer is lost and that are carried out late.
    pub late: f64,
}

pub struct World {
    pub now: Time,
    pub engine: EngineConfig,
    pub hosts: BTreeMap<UpstreamId, Host>,
    pub controller: Controller,
    pub faults: Faults,
    pub rng: Rng,
    pub orders: Vec<(Time, Action, UpstreamId)>,
    pub lost_after: Duration,
    /// Every host that was ever ready in a replica.
    ready: BTreeMap<Fence, BTreeSet<UpstreamId>>,
    late: VecDeque<(Time, Order)>,
    outcomes: VecDeque<(Time, form::OrderId, Outcome)>,
    pub loads: Vec<Time>,
    /// Before traffic begins, loads take a tenth of their time.
    pub traffic: bool,
    term: u64,
}

pub fn model(name: &str, width: usize, pace: f64, load: f64, warm: f64) -> EngineModel {
    EngineModel {
        model: name.parse().unwrap(),
        width,
        share: 0.5,
        time_factor: pace,
        load_time: Duration::from_secs_f64(load),
        join_time: Duration::from_secs_f64(warm),
    }
}

impl World {
    pub fn new(cfg: Config, seed: u64, domains: usize, each: usize) -> Self {
        let engine = EngineConfig {
            slots: 17,
            context_tokens: 1_860_000,
            models: vec![
                model("wide", 4, 1.0, 16.0, 1.6),
                model("slim", 2, 0.6, 12.0, 1.1),
            ],
            step_time: Duration::from_micros(7_800),
            step_time_per_request: Duration::from_micros(95),
            prefill_rate: 45_900.0,
            mean_prompt_tokens: 979.0,
            mean_answer_tokens: 154.0,
            load_rate: 5.0,
            max_parallel_loads: 7,
            max_staged_models: 1,
            open_time: OPEN,
        };
        let mut controller = Controller::new(cfg);
        let engines = [("lm".parse().unwrap(), engine.clone())];
        controller.set_engines(engines.into());
        let now = Time::from_millis(1_000);
        controller.set_term(Some(2), now);
        let mut world = Self {
            now,
            engine,
            hosts: BTreeMap::new(),
            controller,
            faults: Faults::default(),
            rng: Rng::with_seed(seed),
            orders: Vec::new(),
            lost_after: Duration::from_millis(900),
            ready: BTreeMap::new(),
            late: VecDeque::new(),
            outcomes: VecDeque::new(),
            loads: Vec::new(),
            traffic: false,
            term: 2,
        };
        for domain in 0..domains {
            for host in 0..each {
                world.add(&format!("h{domain}-{host}"), &format!("d{domain}"));
            }
        }
        world
    }

    pub fn add(&mut self, id: &str, domain: &str) {
        let id: UpstreamId = id.parse().unwrap();
        let host = Host {
            id: id.clone(),
            domain: domain.to_owned(),
            life: self.now.0,
            sequence: 0,
            up: true,
            cut: false,
            leaving: false,
            staged: None,
            loading: None,
            warm: None,
            gone: false,
            seen_epoch: Fence(0),
            part: None,
            model: None,
            begun: 0,
            next_beat: self.now,
            changed: false,
        };
        self.hosts.insert(id, host);
    }

    /// Ends a host without a word.
    pub fn kill(&mut self, id: &UpstreamId) {
        let host = self.hosts.get_mut(id).unwrap();
        host.up = false;
    }

    /// A host says that it is gone and lives on for a while.
    pub fn say_gone(&mut self, id: &UpstreamId) {
        self.hosts.get_mut(id).unwrap().gone = true;
        self.controller.record_departure(id);
    }

    pub fn begin_traffic(&mut self) {
        self.traffic = true;
        self.controller.mark_traffic_begun();
    }

    /// All control hosts start again: the next leader knows nothing but what it hears.
    pub fn forget_controller(&mut self) {
        self.term += 1;
        self.controller = Controller::new(Config::default());
        let engines = [("lm".parse().unwrap(), self.engine.clone())];
        self.controller.set_engines(engines.into());
        self.controller.set_term(Some(self.term), self.now);
        if self.traffic {
            self.controller.mark_traffic_begun();
        }
        self.outcomes.clear();
    }

    /// Another process leads: it knows what hosts say, and nothing else.
    pub fn change_leader(&mut self) {
        self.term += 1;
        self.controller.set_term(None, self.now);
        self.controller.set_term(Some(self.term), self.now);
        self.outcomes.clear();
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            self.advance_hosts();
            self.announce();
            self.detect();
            while self.late.front().is_some_and(|(at, _)| *at <= self.now) {
                let (_, order) = self.late.pop_front().unwrap();
                self.carry_out(&order);
            }
            while self
                .outcomes
                .front()
                .is_some_and(|(at, ..)| *at <= self.now)
            {
                let (_, id, outcome) = self.outcomes.pop_front().unwrap();
                self.controller.record_outcome(id, outcome, self.now);
            }
            for order in self.controller.tick(self.now) {
                self.give(order);
            }
            self.leave_elsewhere();
            self.check_serving();
        }
    }

    /// Entry hosts reach first hosts that the controller doesn't, and tell them to leave.
    fn leave_elsewhere(&mut self) {
        for order in self.controller.unreachable_heads() {
            if self.hosts[&order.host].up {
                self.carry_out(&order);
                let Action::Leave { epoch, .. } = order.action else {
                    continue;
                };
                self.controller.record_head_left(epoch, self.now);
            }
        }
    }

    /// Replicas that requests may be sent to and that serve.
    pub fn serving(&self, model: &str) -> usize {
        let directions = self.controller.routing_table().unwrap_or_default();
        let of = directions
            .serving
            .iter()
            .filter(|s| s.model.as_str() == model);
        of.filter(|serving| {
            let head = &self.hosts[&serving.head];
            let opens = |part: &Part| part.epoch == serving.epoch && part.state == PlaceState::Open;
            head.up && head.part.as_ref().is_some_and(opens) && self.is_sound(&serving.head)
        })
        .count()
    }

    pub fn count_orders(&self, what: fn(&Action) -> bool) -> usize {
        self.orders
            .iter()
            .filter(|(_, action, _)| what(action))
            .count()
    }

    fn is_sound(&self, head: &UpstreamId) -> bool {
        let Some(part) = &self.hosts[head].part else {
            return false;
        };
        part.hosts.iter().all(|id| {
            let host = &self.hosts[id];
            let same = host.part.as_ref().is_some_and(|p| p.epoch == part.epoch);
            host.up && same
        })
    }

    fn advance_hosts(&mut self) {
        let now = self.now;
        for host in self.hosts.values_mut().filter(|host| host.up) {
            if let Some((model, until)) = host.loading.clone()
                && until <= now
            {
                host.staged = Some(model);
                host.loading = None;
                host.changed = true;
            }
            let Some(part) = &mut host.part else {
                continue;
            };
            if part.state == PlaceState::Joining && part.until <= now {
                part.state = PlaceState::Ready;
                host.warm.clone_from(&host.model);
                host.changed = true;
                let ready = self.ready.entry(part.epoch).or_default();
                ready.insert(host.id.clone());
            }
            if part.opening.is_some_and(|at| at <= now) {
                part.opening = None;
                part.state = PlaceState::Open;
                host.changed = true;
            }
        }
    }

    fn announce(&mut self) {
        let now = self.now;
        let mut said = Vec::new();
        for host in self
            .hosts
            .values_mut()
            .filter(|host| host.up && !host.cut && !host.gone)
        {
            if !host.changed && now < host.next_beat {
                continue;
            }
            host.changed = false;
            host.next_beat = now + BEAT;
            host.sequence += 1;
            said.push(announcement(host));
        }
        for said in said {
            self.controller.record_announcement(&said, now);
        }
    }

    /// Hosts that do not answer are found out about a while after they fell silent.
    fn detect(&mut self) {
        let silent = self.controller.silent_hosts(self.lost_after, self.now);
        for said in silent {
            let host = &self.hosts[&said.id];
            if !host.up || host.cut {
                self.controller
                    .mark_lost(&said.id, said.incarnation, self.now);
            }
        }
    }

    fn give(&mut self, mut order: Order) {
        let host = &self.hosts[&order.host];
        if host.up && !host.cut && order.begun_orders.is_none() {
            let begun = host.begun;
            order.begun_orders = Some(begun);
            self.controller
                .record_begun_orders(&order.host, order.incarnation, begun);
        }
        self.orders
            .push((self.now, order.action.clone(), order.host.clone()));
        let host = &self.hosts[&order.host];
        if !host.up || host.cut {
            let at = self.now + Duration::from_millis(400);
            self.outcomes.push_back((at, order.id, Outcome::NotSent));
            return;
        }
        if self.rng.f64() < self.faults.late {
            let at = self.now + Duration::from_millis(self.rng.u64(2_000..12_000));
            let place = self.late.partition_point(|(other, _)| *other <= at);
            let answer = self.now + Duration::from_secs(1);
            self.outcomes
                .push_back((answer, order.id, Outcome::Unknown));
            self.late.insert(place, (at, order));
            return;
        }
        let outcome = self.carry_out(&order);
        let at = self.now + Duration::from_millis(20);
        self.outcomes.push_back((at, order.id, outcome));
        self.outcomes.make_contiguous().sort_by_key(|(at, ..)| *at);
    }

    fn carry_out(&mut self, order: &Order) -> Outcome {
        let host = self.hosts.get_mut(&order.host).unwrap();
        if order.begun_orders.is_some_and(|begun| begun != host.begun) {
            return Outcome::Refused;
        }
        let outcome = self.obey(order);
        let host = self.hosts.get_mut(&order.host).unwrap();
        host.begun += u64::from(outcome == Outcome::Begun);
        outcome
    }

    fn obey(&mut self, order: &Order) -> Outcome {
        let now = self.now;
        let under_way = self.hosts.values().filter(|h| h.up && h.loading.is_some());
        let crowd = (under_way.count() + 1) as f64 / self.engine.max_parallel_loads as f64;
        let crowd = crowd.max(1.0);
        let host = self.hosts.get(&order.host).unwrap().clone();
        if !host.up || host.life != order.incarnation.0 {
            return Outcome::NotSent;
        }
        match &order.action {
            Action::Stage { model } => {
                if host.loading.is_some() || host.staged.as_ref() == Some(model) {
                    return Outcome::Refused;
                }
                self.loads.push(now);
                let factor = if self.traffic { crowd } else { 0.1 };
                let load = self.engine.model(model).unwrap().load_time.mul_f64(factor);
                let host = self.hosts.get_mut(&order.host).unwrap();
                host.loading = Some((model.clone(), now + load));
                Outcome::Begun
            }
            Action::Join {
                replica,
                epoch,
                model,
                hosts,
            } => {
                if *epoch < host.seen_epoch {
                    return Outcome::Refused;
                }
                self.check_join(&host, *epoch);
                let known = self.engine.model(model).unwrap();
                let warm = host.warm.as_ref() == Some(model);
                let staged = host.staged.as_ref() == Some(model);
                let takes = match (warm, staged) {
                    (true, _) => REJOIN,
                    (false, true) => {
                        let after = host.loading.as_ref().map(|(_, until)| until.since(now));
                        known.join_time + after.unwrap_or_default()
                    }
                    (false, false) => known.load_time,
                };
                let host = self.hosts.get_mut(&order.host).unwrap();
                host.seen_epoch = *epoch;
                host.model = Some(model.clone());
                host.part = Some(Part {
                    name: replica.clone(),
                    epoch: *epoch,
                    hosts: hosts.clone(),
                    state: PlaceState::Joining,
                    until: now + takes,
                    opening: None,
                });
                host.changed = true;
                Outcome::Begun
            }
            Action::Open { epoch, .. } => {
                let host = self.hosts.get_mut(&order.host).unwrap();
                match &mut host.part {
                    Some(part) if part.epoch == *epoch && part.state == PlaceState::Ready => {
                        part.opening = Some(now + OPEN);
                        Outcome::Begun
                    }
                    _ => Outcome::Refused,
                }
            }
            Action::Leave { epoch, .. } => {
                let host = self.hosts.get_mut(&order.host).unwrap();
                let is_in = host.part.as_ref().is_some_and(|part| part.epoch == *epoch);
                if !is_in {
                    return Outcome::Done;
                }
                host.part = None;
                host.changed = true;
                Outcome::Begun
            }
        }
    }
}
