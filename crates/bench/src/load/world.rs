//! Simulates requests through entry nodes and engines in virtual time.

mod links;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use self::links::LinkState;
use super::engine::Engine;
use super::engine::Job;
use super::engine::Progress;
use super::engine::QueueOrder;
use super::engine::SECONDS_PER_PROMPT_TOKEN;
use super::engine::SECONDS_PER_TOKEN;
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

/// The number of replicas in all data centres together.
pub const REPLICAS: usize = 60;
/// The number of data centres.
pub const CENTRES: usize = 3;
/// The one-way delay within a data centre.
pub const LOCAL_LINK_DELAY: Duration = Duration::from_micros(300);
/// The time between two load reports of a replica.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The age of a load report when nodes receive it.
const REPORT_LAG: Duration = Duration::from_millis(100);
/// The tokens of an answer that a node records in one call.
const TOKENS_PER_RECORD: u32 = 8;
/// How many times slower the slow replica becomes.
const SLOWDOWN: u32 = 10;
/// The run ends at the latest this long after the last arrival.
const DRAIN_LIMIT: Duration = Duration::from_secs(240);

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The dispatch policy.
    pub policy: Policy,
    /// The contracts, in the order of organisations and kinds of requests.
    pub contracts: Vec<Contract>,
    /// Work in this window counts for goodput.
    pub window: (Time, Time),
    /// When replica 0 becomes ten times slower.
    pub slow_from: Time,
    /// The start and the end of a partition of the last data centre from the others.
    pub partition: (Time, Time),
    /// The seed of the dispatchers.
    pub seed: u64,
}

/// A simulated event. A `usize` is the index of a request, replica or node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    /// A request reaches a replica, with its priority.
    Deliver(usize, usize, u8),
    Step(usize),
    FirstToken(usize),
    Tokens(usize),
    Finished(usize),
    /// A replica takes a load report.
    TakeReport(usize),
    /// The nodes receive the oldest load report in flight.
    DeliverReport,
    /// The nodes exchange demand reports.
    Exchange,
    Slow,
    Link(LinkState),
    Poll(usize),
}

/// The state of a run.
struct World<'a> {
    run: &'a Run,
    requests: &'a [Request],
    outcomes: Vec<Outcome>,
    remaining_tokens: Vec<u32>,
    engines: Vec<Engine>,
    /// Whether a step of each engine is scheduled.
    is_stepping: Vec<bool>,
    nodes: Vec<Dispatcher>,
    next_polls: Vec<Time>,
    /// For each node, the counter by which it takes replicas in turn under [`Policy::RoundRobin`].
    round_robin: Vec<usize>,
    /// The entry node of each request.
    node_of: Vec<usize>,
    /// The last demand report of each node.
    demand_reports: BTreeMap<usize, DemandReport>,
    /// Load reports in flight, oldest first.
    reports_in_flight: VecDeque<(usize, Load)>,
    /// Scheduled events. The sequence number orders events of the same time.
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    now: Time,
    link_state: LinkState,
}

/// Runs requests and returns their outcomes.
pub fn run(run: &Run, requests: &[Request]) -> Vec<Outcome> {
    let mut world = World::open(run, requests);
    let end = requests.last().map_or(Time::ZERO, |r| r.at) + DRAIN_LIMIT;
    while let Some(((now, _), event)) = world.events.pop_first() {
        if end < now {
            break;
        }
        world.now = now;
        world.handle_event(event);
        if world.is_finished() {
            break;
        }
    }
    world.outcomes
}

impl<'a> World<'a> {
    fn open(run: &'a Run, requests: &'a [Request]) -> Self {
        let order = match run.policy {
            Policy::RoundRobin => QueueOrder::Fifo,
            Policy::Limit | Policy::Lend | Policy::Perfect => QueueOrder::Priority,
        };
        let count = node_count(run.policy);
        let mut world = Self {
            run,
            requests,
            outcomes: vec![Outcome::default(); requests.len()],
            remaining_tokens: requests.iter().map(|r| r.output).collect(),
            engines: vec![Engine::open(order); REPLICAS],
            is_stepping: vec![false; REPLICAS],
            nodes: (0..count).map(|node| open_node(run, node)).collect(),
            next_polls: vec![Time::NEVER; count],
            round_robin: (0..count).map(|node| node * 7).collect(),
            node_of: vec![0; requests.len()],
            demand_reports: BTreeMap::new(),
            reports_in_flight: VecDeque::new(),
            events: BTreeMap::new(),
            sequence: 0,
            now: Time::ZERO,
            link_state: LinkState::Connected,
        };
        if !requests.is_empty() {
            world.schedule(requests[0].at, Event::Arrive(0));
        }
        if run.partition.0 < Time::NEVER {
            world.schedule(run.partition.0, Event::Link(LinkState::Partitioned));
            world.schedule(run.partition.1, Event::Link(LinkState::Connected));
        }
        if run.slow_from < Time::NEVER {
            world.schedule(run.slow_from, Event::Slow);
        }
        if run.policy != Policy::RoundRobin {
            world.start_reports();
        }
        world
    }

    fn start_reports(&mut self) {
        self.set_all_replicas();
        for replica in 0..REPLICAS {
            let phase = REPORT_INTERVAL.mul_f64(replica as f64 / REPLICAS as f64);
            self.schedule(Time::ZERO + phase, Event::TakeReport(replica));
        }
        self.schedule(Time::ZERO, Event::Exchange);
    }

    fn report_lag(&self) -> Duration {
        match self.run.policy {
            Policy::Perfect => Duration::ZERO,
            Policy::Limit | Policy::Lend | Policy::RoundRobin => REPORT_LAG,
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn is_finished(&self) -> bool {
        let is_work = |event: &Event| {
            !matches!(
                event,
                Event::TakeReport(_) | Event::DeliverReport | Event::Exchange | Event::Poll(_)
            )
        };
        self.sequence.is_multiple_of(64)
            && self.nodes.iter().all(|node| node.waiting_count() == 0)
            && !self.events.values().any(is_work)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Deliver(request, replica, priority) => self.deliver(request, replica, priority),
            Event::Step(replica) => self.step_engine(replica),
            Event::FirstToken(request) => {
                self.outcomes[request].first_token.get_or_insert(self.now);
                let id = RequestId(request as u64);
                self.nodes[self.node_of[request]].record_first_token(id, self.now);
            }
            Event::Tokens(request) => {
                let id = RequestId(request as u64);
                self.nodes[self.node_of[request]].record_tokens(id, TOKENS_PER_RECORD, self.now);
            }
            Event::Finished(request) => self.finished(request),
            Event::TakeReport(replica) => self.take_report(replica),
            Event::DeliverReport => self.deliver_report(),
            Event::Exchange => self.exchange_demand(),
            Event::Link(link_state) => self.set_link_state(link_state),
            Event::Slow => self.engines[0].slowdown = SLOWDOWN,
            Event::Poll(node) => {
                if self.next_polls[node] == self.now {
                    self.poll(node);
                }
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        if let Some(next) = self.requests.get(request + 1) {
            self.schedule(next.at, Event::Arrive(request + 1));
        }
        let arriving = &self.requests[request];
        let node = arriving.node % self.nodes.len();
        self.node_of[request] = node;
        if self.run.policy == Policy::RoundRobin {
            self.round_robin[node] += 1;
            let replica = self.round_robin[node] % REPLICAS;
            if !self.is_linked(node, replica) {
                self.outcomes[request].refused = Some(self.now);
                return;
            }
            self.send(request, replica, 0);
            return;
        }
        let contract = &self.run.contracts[arriving.org * 3 + arriving.kind];
        let decision = self.nodes[node].handle_arrival(Arrival {
            request: RequestId(request as u64),
            contract: contract.name.clone(),
            prompt: TokenCount(arriving.prompt),
            max_tokens: TokenCount(arriving.max_tokens),
            prefix: None,
            now: self.now,
        });
        self.apply_decision(request, decision);
        self.schedule_poll(node);
    }

    fn apply_decision(&mut self, request: usize, decision: Decision) {
        match decision {
            Decision::Send {
                replica, priority, ..
            } => self.send(request, replica.0 as usize, priority.0),
            Decision::Queued => {}
            Decision::Refuse { .. } => self.outcomes[request].refused = Some(self.now),
        }
    }

    fn send(&mut self, request: usize, replica: usize, priority: u8) {
        let at = self.now + self.link_delay(self.node_of[request], replica);
        self.schedule(at, Event::Deliver(request, replica, priority));
    }

    fn deliver(&mut self, request: usize, replica: usize, priority: u8) {
        self.engines[replica].push(Job {
            request,
            priority,
            prompt: self.requests[request].prompt,
            output: self.requests[request].output,
        });
        if !self.is_stepping[replica] {
            self.is_stepping[replica] = true;
            self.schedule(self.now, Event::Step(replica));
        }
    }

    fn step_engine(&mut self, replica: usize) {
        if self.engines[replica].is_idle() {
            self.is_stepping[replica] = false;
            return;
        }
        let mut progress = Vec::new();
        let span = self.engines[replica].step(&mut progress);
        let end = self.now + span;
        for job_progress in progress {
            self.record_progress(replica, &job_progress, end);
        }
        self.schedule(end, Event::Step(replica));
    }

    fn record_progress(&mut self, replica: usize, progress: &Progress, end: Time) {
        let request = progress.request;
        let (from, until) = self.run.window;
        if from <= end && end < until {
            let work = f64::from(progress.prefilled) * SECONDS_PER_PROMPT_TOKEN;
            let work = work + f64::from(progress.generated) * SECONDS_PER_TOKEN;
            self.outcomes[request].window_work += work;
        }
        if progress.generated == 0 {
            return;
        }
        let arrives_at = end + self.link_delay(self.node_of[request], replica);
        let output = self.requests[request].output;
        let generated_before = output - self.remaining_tokens[request];
        self.remaining_tokens[request] -= 1;
        if generated_before == 0 {
            self.schedule(arrives_at, Event::FirstToken(request));
        } else if generated_before.is_multiple_of(TOKENS_PER_RECORD)
            && self.run.policy != Policy::RoundRobin
        {
            self.schedule(arrives_at, Event::Tokens(request));
        }
        if progress.is_done {
            self.schedule(arrives_at, Event::Finished(request));
        }
    }

    fn finished(&mut self, request: usize) {
        self.outcomes[request].last_token = Some(self.now);
        if self.run.policy == Policy::RoundRobin {
            return;
        }
        let node = self.node_of[request];
        self.nodes[node].record_finished(RequestId(request as u64), self.now);
        self.poll(node);
        if self.run.policy == Policy::Perfect {
            self.report_all_loads();
        }
    }

    fn poll(&mut self, node: usize) {
        for (id, decision) in self.nodes[node].poll(self.now) {
            self.apply_decision(id.0 as usize, decision);
        }
        self.schedule_poll(node);
    }

    fn schedule_poll(&mut self, node: usize) {
        let next = self.nodes[node].next_poll().max(self.now);
        let planned_poll = self.next_polls[node];
        if next == Time::NEVER || (self.now < planned_poll && planned_poll <= next) {
            return;
        }
        self.next_polls[node] = next;
        self.schedule(next, Event::Poll(node));
    }
}
