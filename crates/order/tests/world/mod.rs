//! A simulation of a few entry nodes and their attempts, with a fake log, callers and a
//! service that counts executions. One seed drives all of it, in virtual time.

mod callers;
mod log;
mod service;

use std::collections::BTreeMap;
use std::time::Duration;

use base::Incarnation;
use base::NodeId;
use base::Time;
use order::Action;
use order::Answer;
use order::AttemptTable;
use order::Call;
use order::Event;
use order::ProposalKind;
use order::SEND_WINDOW;
use state::Op;

pub use callers::Callers;
pub use log::Log;
pub use service::Service;

/// The most attempts that a node holds open.
const MAX_OPEN_ATTEMPTS: usize = 1_000;

/// An attempt of one incarnation of a node, and the index of its call in [`Callers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRef {
    pub node: u32,
    pub incarnation: u64,
    pub sequence: u64,
    pub call: usize,
}

/// An event that the simulation has scheduled.
#[derive(Clone, Debug)]
enum SimEvent {
    Call {
        node: u32,
        call: usize,
        terms: Call,
        /// The incarnation of the process in whose socket buffer the call waits.
        queued_in: Option<u64>,
    },
    Propose(AttemptRef, Op),
    Event(AttemptRef, Event),
    RequestArrives(AttemptRef),
    QueryOutcome(AttemptRef),
    Tick(u32),
    Fault,
    CallerLeaves(AttemptRef),
}

/// How often messages are lost and nodes or links fail.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The share of messages that are lost, in percent.
    pub message_loss_percent: u8,
    /// The mean time between two faults of nodes, links or voters, if there are any.
    pub fault_interval: Option<Duration>,
}

struct Node {
    incarnation: u64,
    table: AttemptTable,
    /// Until when the process is paused and handles nothing.
    paused_until: Time,
    /// Until when the node reaches neither the log nor the service.
    partitioned_until: Time,
    down_until: Time,
    /// The call of each sequence, and when the node accepted it.
    calls: BTreeMap<u64, (usize, Time)>,
}

/// The simulated nodes, log, service and callers.
pub struct World {
    pub rng: fastrand::Rng,
    pub now: Time,
    pub faults: Faults,
    pub log: Log,
    pub service: Service,
    pub callers: Callers,
    nodes: Vec<Node>,
    queue: BTreeMap<(Time, u64), SimEvent>,
    last_event_id: u64,
}

impl World {
    pub fn new(seed: u64, nodes: u32, faults: Faults) -> Self {
        let mut world = Self {
            rng: fastrand::Rng::with_seed(seed),
            now: Time::ZERO,
            faults,
            log: Log::default(),
            service: Service::default(),
            callers: Callers::default(),
            nodes: (0..nodes)
                .map(|node| Node::new(node, 1, Time::ZERO))
                .collect(),
            queue: BTreeMap::new(),
            last_event_id: 0,
        };
        (0..nodes).for_each(|node| world.schedule(millis(10), SimEvent::Tick(node)));
        if let Some(fault_interval) = faults.fault_interval {
            world.schedule(fault_interval, SimEvent::Fault);
        }
        world
    }

    /// Schedules a call to a random node after `wait`.
    pub fn call(&mut self, wait: Duration, terms: Call) -> usize {
        let node = self.rng.u32(0..self.nodes.len() as u32);
        let call = self.callers.open(self.now + wait, &terms);
        let queued_in = None;
        let event = SimEvent::Call {
            node,
            call,
            terms,
            queued_in,
        };
        self.schedule(wait, event);
        call
    }

    /// Runs the simulation for `span` of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if end < entry.key().0 {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Ends all faults, except that a paused node stays paused until its time is over.
    pub fn end_faults(&mut self) {
        self.faults = Faults::default();
        for node in &mut self.nodes {
            node.partitioned_until = self.now;
            node.down_until = node.down_until.min(self.now);
        }
        self.log.no_leader_until = self.now;
    }

    fn schedule(&mut self, wait: Duration, event: SimEvent) {
        self.last_event_id += 1;
        self.queue
            .insert((self.now + wait, self.last_event_id), event);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Call {
                node,
                call,
                terms,
                queued_in,
            } => {
                self.handle_call(node, call, terms, queued_in);
            }
            SimEvent::Event(attempt, event) => self.handle_attempt_event(attempt, event),
            SimEvent::Propose(attempt, op) => self.handle_proposal(attempt, op),
            SimEvent::RequestArrives(attempt) => self.handle_request(attempt),
            SimEvent::QueryOutcome(attempt) => self.handle_outcome_query(attempt),
            SimEvent::Tick(node) => self.tick(node),
            SimEvent::Fault => self.inject_fault(),
            SimEvent::CallerLeaves(attempt) => {
                self.callers.leave(attempt.call);
                self.handle_attempt_event(attempt, Event::CallerGone);
            }
        }
    }

    fn handle_call(&mut self, node_index: u32, call: usize, terms: Call, queued_in: Option<u64>) {
        let now = self.now;
        let node = &mut self.nodes[node_index as usize];
        let incarnation = node.incarnation;
        if node.is_down(now) || queued_in.is_some_and(|queued_in| queued_in != incarnation) {
            return self.callers.leave(call);
        }
        if now < node.paused_until {
            let wait = node.paused_until.since(now);
            let queued_in = Some(incarnation);
            return self.schedule(
                wait,
                SimEvent::Call {
                    node: node_index,
                    call,
                    terms,
                    queued_in,
                },
            );
        }
        let Ok((sequence, actions)) = node.table.open_attempt(terms, now) else {
            return self.callers.leave(call);
        };
        node.calls.insert(sequence, (call, now));
        let attempt = AttemptRef {
            node: node_index,
            incarnation: node.incarnation,
            sequence,
            call,
        };
        if self.faults.fault_interval.is_some() && self.rng.u8(0..100) < 5 {
            let wait = millis(self.rng.u64(0..3_000));
            self.schedule(wait, SimEvent::CallerLeaves(attempt));
        }
        self.carry_out(attempt, actions);
    }

    fn handle_attempt_event(&mut self, attempt: AttemptRef, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[attempt.node as usize];
        if node.incarnation != attempt.incarnation || node.is_down(now) {
            return;
        }
        if now < node.paused_until {
            let wait = node.paused_until.since(now);
            return self.schedule(wait, SimEvent::Event(attempt, event));
        }
        if let Event::Reply(_) = event {
            node.table.note_applied_index(self.log.state.applied(), now);
        }
        let actions = node.table.handle_event(attempt.sequence, event, now);
        self.carry_out(attempt, actions);
    }

    fn carry_out(&mut self, attempt: AttemptRef, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Propose(op) => {
                    let wait = self.delay();
                    self.send(attempt, wait, SimEvent::Propose(attempt, op));
                }
                Action::Connect => self.connect(attempt),
                Action::WriteRequest => self.write(attempt),
                Action::QueryOutcome => {
                    let wait = self.delay();
                    self.send(attempt, wait, SimEvent::QueryOutcome(attempt));
                }
                Action::Answer(answer) => self.answer(attempt, answer),
                Action::DropConnection | Action::Close => {}
            }
        }
    }

    fn answer(&mut self, attempt: AttemptRef, answer: Answer) {
        self.callers.answer(attempt.call, self.now, answer);
    }

    fn connect(&mut self, attempt: AttemptRef) {
        let refused = self.is_partitioned(attempt.node)
            || self.rng.u8(0..100) < self.faults.message_loss_percent;
        let event = if refused {
            Event::ConnectFailed
        } else {
            Event::Connected
        };
        let wait = self.delay();
        self.schedule(wait, SimEvent::Event(attempt, event));
    }

    fn write(&mut self, attempt: AttemptRef) {
        let (_, accepted_at) = self.nodes[attempt.node as usize].calls[&attempt.sequence];
        assert!(
            self.now.since(accepted_at) < SEND_WINDOW,
            "written late: {attempt:?}"
        );
        let wait = self.delay();
        if self.rng.u8(0..100) < self.faults.message_loss_percent {
            // The connection breaks; the request may or may not reach the service.
            let lost_after = self.delay() + wait;
            self.schedule(lost_after, SimEvent::Event(attempt, Event::ConnectionLost));
            if self.rng.bool() {
                return;
            }
        }
        self.send(attempt, wait, SimEvent::RequestArrives(attempt));
    }

    fn handle_request(&mut self, attempt: AttemptRef) {
        let call = attempt.call;
        if 0 < self.faults.message_loss_percent && self.rng.u8(0..100) < 5 {
            let wait = self.delay();
            return self.send(attempt, wait, SimEvent::Event(attempt, Event::Declined));
        }
        let terms = self.callers.terms(call);
        let answer = self.service.run(call, &terms, self.callers.opened_at(call));
        let wait = self.delay() + millis(self.rng.u64(0..200));
        let late = 0 < self.faults.message_loss_percent && self.rng.u8(0..100) < 10;
        let wait = if late { wait + millis(12_000) } else { wait };
        self.send(
            attempt,
            wait,
            SimEvent::Event(attempt, Event::Answered(answer)),
        );
    }

    fn handle_outcome_query(&mut self, attempt: AttemptRef) {
        let reply = self
            .service
            .query_outcome(&self.callers.terms(attempt.call));
        let wait = self.delay();
        self.send(
            attempt,
            wait,
            SimEvent::Event(attempt, Event::OutcomeQueried(reply)),
        );
    }

    fn handle_proposal(&mut self, attempt: AttemptRef, op: Op) {
        let proposal = match op {
            Op::Withdraw(_) => ProposalKind::Withdraw,
            Op::Record(_) | Op::Learn(_) => ProposalKind::Record,
            _ => ProposalKind::Claim,
        };
        let wait = self.delay();
        if self.now < self.log.no_leader_until {
            return self.send(
                attempt,
                wait,
                SimEvent::Event(attempt, Event::ProposalLost(proposal)),
            );
        }
        let reply = self.log.append(self.now, op.clone());
        if self.rng.u8(0..100) < self.faults.message_loss_percent {
            // A leader change: the operation is proposed a second time, much later.
            let late = millis(self.rng.u64(0..4_000));
            self.schedule(late, SimEvent::Propose(attempt, op));
        }
        self.send(attempt, wait, SimEvent::Event(attempt, Event::Reply(reply)));
    }

    /// Schedules a message between a node and the log or the service, or loses it.
    fn send(&mut self, attempt: AttemptRef, wait: Duration, event: SimEvent) {
        if self.is_partitioned(attempt.node)
            || self.rng.u8(0..100) < self.faults.message_loss_percent
        {
            return;
        }
        self.schedule(wait, event);
    }

    fn is_partitioned(&self, node: u32) -> bool {
        self.now < self.nodes[node as usize].partitioned_until
    }

    fn delay(&mut self) -> Duration {
        let slow = 0 < self.faults.message_loss_percent && self.rng.u8(0..20) == 0;
        millis(self.rng.u64(1..if slow { 3_000 } else { 12 }))
    }

    fn tick(&mut self, node_index: u32) {
        let now = self.now;
        let node = &mut self.nodes[node_index as usize];
        if now < node.paused_until || node.is_down(now) {
            return self.schedule(millis(10), SimEvent::Tick(node_index));
        }
        let incarnation = node.incarnation;
        let actions = node.table.tick(now);
        let calls = node.calls.clone();
        for (sequence, action) in actions {
            let attempt = AttemptRef {
                node: node_index,
                incarnation,
                sequence,
                call: calls[&sequence].0,
            };
            self.carry_out(attempt, vec![action]);
        }
        self.schedule(millis(10), SimEvent::Tick(node_index));
    }

    fn inject_fault(&mut self) {
        let Some(fault_interval) = self.faults.fault_interval else {
            return;
        };
        let now = self.now;
        let node_index = self.rng.u32(0..self.nodes.len() as u32);
        let span = millis(self.rng.u64(10..6_000));
        let node = &mut self.nodes[node_index as usize];
        match self.rng.u8(0..6) {
            0 => {
                let incarnation = node.incarnation + 1;
                *node = Node::new(node_index, incarnation, now + span);
                let op = Op::Gone {
                    node: NodeId(node_index),
                    before: Incarnation(incarnation),
                };
                self.log.append(now, op);
            }
            1 => node.pause_until(now + span),
            2 => node.pause_until(now + 20 * span),
            3 => node.partitioned_until = now + span,
            4 => self.log.no_leader_until = now + span,
            _ => self.log.restart(),
        }
        let wait = millis(self.rng.u64(0..2 * fault_interval.as_millis() as u64));
        self.schedule(wait, SimEvent::Fault);
    }
}

impl Node {
    fn new(node: u32, incarnation: u64, start: Time) -> Self {
        Self {
            incarnation,
            table: AttemptTable::new(
                start,
                NodeId(node),
                Incarnation(incarnation),
                MAX_OPEN_ATTEMPTS,
            ),
            paused_until: Time::ZERO,
            partitioned_until: Time::ZERO,
            down_until: start,
            calls: BTreeMap::new(),
        }
    }

    fn pause_until(&mut self, end: Time) {
        self.paused_until = self.paused_until.max(end);
    }

    fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }
}

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
