//! Runs requests through entry nodes and engines in virtual time.

mod links;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use self::links::Link;
use super::engine::Engine;
use super::engine::Job;
use super::engine::Order;
use super::engine::PROMPT_COST;
use super::engine::Progress;
use super::engine::TOKEN_COST;
use super::node::node_count;
use super::node::open_node;
use super::outcome::Outcome;
use super::policy::Policy;
use super::traffic::Request;
use admit::Arrival;
use admit::Decision;
use admit::DemandReport;
use admit::Dispatcher;
use base::Contract;
use base::Load;
use base::RequestId;
use base::Time;
use base::TokenCount;

/// Replicas over all data centres.
pub const REPLICAS: usize = 60;
/// Data centres.
pub const CENTRES: usize = 3;
/// One way within a data centre.
pub const NEAR: Duration = Duration::from_micros(300);
/// Time between two load reports.
const REPORT_EVERY: Duration = Duration::from_millis(200);
/// Age of a load report when it comes.
const REPORT_LAG: Duration = Duration::from_millis(100);
/// Tokens that a node counts at once.
const TOKENS_AT_ONCE: u32 = 8;
/// How many times slower a replica turns.
const SLOWNESS: u32 = 10;
/// Nothing runs longer than this after the last arrival.
const DRAIN: Duration = Duration::from_secs(240);

/// One run.
#[derive(Clone, Debug)]
pub struct Run {
    /// How to dispatch.
    pub policy: Policy,
    /// The contracts, in the order of organisations and kinds of work.
    pub contracts: Vec<Contract>,
    /// Work done in this window counts for goodput.
    pub window: (Time, Time),
    /// When replica 0 turns ten times slower.
    pub slow: Time,
    /// From when until when the last data centre is cut off from the others.
    pub cut: (Time, Time),
    /// Seed of the dispatchers.
    pub seed: u64,
}

/// Something that happens. The derived order breaks ties.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Deliver(usize, usize, u8),
    Step(usize),
    First(usize),
    Tokens(usize),
    Finished(usize),
    ReportTaken(usize),
    ReportSeen,
    Exchange,
    Slow,
    Link(Link),
    Poll(usize),
}

struct World<'a> {
    run: &'a Run,
    requests: &'a [Request],
    outcomes: Vec<Outcome>,
    left: Vec<u32>,
    engines: Vec<Engine>,
    busy: Vec<bool>,
    nodes: Vec<Dispatcher>,
    polls: Vec<Time>,
    turns: Vec<usize>,
    homes: Vec<usize>,
    reports: BTreeMap<usize, DemandReport>,
    /// Load reports on their way, oldest first.
    travelling: VecDeque<(usize, Load)>,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    now: Time,
    state: Link,
}

/// Runs requests under a policy.
pub fn run(run: &Run, requests: &[Request]) -> Vec<Outcome> {
    let mut world = World::open(run, requests);
    let end = requests.last().map_or(Time::ZERO, |r| r.at) + DRAIN;
    while let Some(((now, _), event)) = world.events.pop_first() {
        if end < now {
            break;
        }
        world.now = now;
        world.take(event);
        if world.is_over() {
            break;
        }
    }
    world.outcomes
}

impl<'a> World<'a> {
    fn open(run: &'a Run, requests: &'a [Request]) -> Self {
        let order = match run.policy {
            Policy::RoundRobin => Order::Fifo,
            Policy::Limit | Policy::Lend | Policy::Perfect => Order::Priority,
        };
        let count = node_count(run.policy);
        let mut world = Self {
            run,
            requests,
            outcomes: vec![Outcome::default(); requests.len()],
            left: requests.iter().map(|r| r.output).collect(),
            engines: vec![Engine::open(order); REPLICAS],
            busy: vec![false; REPLICAS],
            nodes: (0..count).map(|node| open_node(run, node)).collect(),
            polls: vec![Time::NEVER; count],
            turns: (0..count).map(|node| node * 7).collect(),
            homes: vec![0; requests.len()],
            reports: BTreeMap::new(),
            travelling: VecDeque::new(),
            events: BTreeMap::new(),
            sequence: 0,
            now: Time::ZERO,
            state: Link::Whole,
        };
        if !requests.is_empty() {
            world.push(requests[0].at, Event::Arrive(0));
        }
        if run.cut.0 < Time::NEVER {
            world.push(run.cut.0, Event::Link(Link::Cut));
            world.push(run.cut.1, Event::Link(Link::Whole));
        }
        if run.slow < Time::NEVER {
            world.push(run.slow, Event::Slow);
        }
        if run.policy != Policy::RoundRobin {
            world.introduce();
        }
        world
    }

    fn introduce(&mut self) {
        self.place_all();
        for replica in 0..REPLICAS {
            let phase = REPORT_EVERY.mul_f64(replica as f64 / REPLICAS as f64);
            self.push(Time::ZERO + phase, Event::ReportTaken(replica));
        }
        self.push(Time::ZERO, Event::Exchange);
    }

    fn lag(&self) -> Duration {
        match self.run.policy {
            Policy::Perfect => Duration::ZERO,
            Policy::Limit | Policy::Lend | Policy::RoundRobin => REPORT_LAG,
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn is_over(&self) -> bool {
        let is_work = |event: &Event| {
            !matches!(
                event,
                Event::ReportTaken(_) | Event::ReportSeen | Event::Exchange | Event::Poll(_)
            )
        };
        self.sequence.is_multiple_of(64)
            && self.nodes.iter().all(|node| node.waiting_count() == 0)
            && !self.events.values().any(is_work)
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Deliver(request, replica, priority) => self.deliver(request, replica, priority),
            Event::Step(replica) => self.step(replica),
            Event::First(request) => {
                self.outcomes[request].first.get_or_insert(self.now);
                let id = RequestId(request as u64);
                self.nodes[self.homes[request]].record_first_token(id, self.now);
            }
            Event::Tokens(request) => {
                let id = RequestId(request as u64);
                self.nodes[self.homes[request]].record_tokens(id, TOKENS_AT_ONCE, self.now);
            }
            Event::Finished(request) => self.finished(request),
            Event::ReportTaken(replica) => self.take_report(replica),
            Event::ReportSeen => self.see_report(),
            Event::Exchange => self.exchange(),
            Event::Link(state) => self.set_link(state),
            Event::Slow => self.engines[0].slowness = SLOWNESS,
            Event::Poll(node) => {
                if self.polls[node] == self.now {
                    self.poll(node);
                }
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        if let Some(next) = self.requests.get(request + 1) {
            self.push(next.at, Event::Arrive(request + 1));
        }
        let asked = &self.requests[request];
        let node = asked.node % self.nodes.len();
        self.homes[request] = node;
        if self.run.policy == Policy::RoundRobin {
            self.turns[node] += 1;
            let replica = self.turns[node] % REPLICAS;
            if !self.is_linked(node, replica) {
                self.outcomes[request].refused = Some(self.now);
                return;
            }
            self.send(request, replica, 0);
            return;
        }
        let contract = &self.run.contracts[asked.org * 3 + asked.work];
        let decision = self.nodes[node].handle_arrival(Arrival {
            request: RequestId(request as u64),
            contract: contract.name.clone(),
            prompt: TokenCount(asked.prompt),
            max_tokens: TokenCount(asked.max_tokens),
            prefix: None,
            now: self.now,
        });
        self.act(request, decision);
        self.schedule(node);
    }

    fn act(&mut self, request: usize, decision: Decision) {
        match decision {
            Decision::Send {
                replica, priority, ..
            } => self.send(request, replica.0 as usize, priority.0),
            Decision::Queued => {}
            Decision::Refuse { .. } => self.outcomes[request].refused = Some(self.now),
        }
    }

    fn send(&mut self, request: usize, replica: usize, priority: u8) {
        let at = self.now + self.link(self.homes[request], replica);
        self.push(at, Event::Deliver(request, replica, priority));
    }

    fn deliver(&mut self, request: usize, replica: usize, priority: u8) {
        self.engines[replica].push(Job {
            request,
            priority,
            prompt: self.requests[request].prompt,
            output: self.requests[request].output,
        });
        if !self.busy[replica] {
            self.busy[replica] = true;
            self.push(self.now, Event::Step(replica));
        }
    }

    fn step(&mut self, replica: usize) {
        if self.engines[replica].is_idle() {
            self.busy[replica] = false;
            return;
        }
        let mut progress = Vec::new();
        let span = self.engines[replica].step(&mut progress);
        let end = self.now + span;
        for made in progress {
            self.count(replica, &made, end);
        }
        self.push(end, Event::Step(replica));
    }

    fn count(&mut self, replica: usize, made: &Progress, end: Time) {
        let request = made.request;
        let (from, until) = self.run.window;
        if from <= end && end < until {
            let work = f64::from(made.prefilled) * PROMPT_COST;
            let work = work + f64::from(made.generated) * TOKEN_COST;
            self.outcomes[request].window_work += work;
        }
        if made.generated == 0 {
            return;
        }
        let seen = end + self.link(self.homes[request], replica);
        let output = self.requests[request].output;
        let done = output - self.left[request];
        self.left[request] -= 1;
        if done == 0 {
            self.push(seen, Event::First(request));
        } else if done.is_multiple_of(TOKENS_AT_ONCE) && self.run.policy != Policy::RoundRobin {
            self.push(seen, Event::Tokens(request));
        }
        if made.is_done {
            self.push(seen, Event::Finished(request));
        }
    }

    fn finished(&mut self, request: usize) {
        self.outcomes[request].last = Some(self.now);
        if self.run.policy == Policy::RoundRobin {
            return;
        }
        let node = self.homes[request];
        self.nodes[node].record_finished(RequestId(request as u64), self.now);
        self.poll(node);
        if self.run.policy == Policy::Perfect {
            self.report_all();
        }
    }

    fn poll(&mut self, node: usize) {
        for (id, decision) in self.nodes[node].poll(self.now) {
            self.act(id.0 as usize, decision);
        }
        self.schedule(node);
    }

    fn schedule(&mut self, node: usize) {
        let next = self.nodes[node].next_poll().max(self.now);
        let planned = self.polls[node];
        if next == Time::NEVER || (self.now < planned && planned <= next) {
            return;
        }
        self.polls[node] = next;
        self.push(next, Event::Poll(node));
    }
}
