//! Small fakes around the books of a few entry nodes: a log, a service that
//! counts executions, and callers. All are driven by one seed in virtual time.

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

/// Attempts that a node holds.
const MAX_OPEN: usize = 1_000;

/// One attempt of one life of a node, and the caller's number for its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub node: u32,
    pub life: u64,
    pub sequence: u64,
    pub call: usize,
}

/// What is going to happen.
#[derive(Clone, Debug)]
enum Happening {
    Call {
        node: u32,
        call: usize,
        terms: Call,
        /// The life of the process in whose socket it waits.
        waits_at: Option<u64>,
    },
    Propose(Place, Op),
    Event(Place, Event),
    Arrive(Place),
    QueryOutcome(Place),
    Tick(u32),
    Fault,
    CallerLeaves(Place),
}

/// How often things go wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Share of messages lost, in percent.
    pub lost: u8,
    /// Faults of nodes and links.
    pub every: Option<Duration>,
}

struct Node {
    life: u64,
    table: AttemptTable,
    /// Until when it does nothing, as if stopped.
    frozen_until: Time,
    /// Until when it reaches neither log nor service.
    cut_until: Time,
    down_until: Time,
    /// Calls and when they were taken in.
    calls: BTreeMap<u64, (usize, Time)>,
}

/// All of it.
pub struct World {
    pub rng: fastrand::Rng,
    pub now: Time,
    pub faults: Faults,
    pub log: Log,
    pub service: Service,
    pub callers: Callers,
    nodes: Vec<Node>,
    queue: BTreeMap<(Time, u64), Happening>,
    queued: u64,
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
            queued: 0,
        };
        (0..nodes).for_each(|node| world.after(ms(10), Happening::Tick(node)));
        if let Some(every) = faults.every {
            world.after(every, Happening::Fault);
        }
        world
    }

    /// A caller calls a node after a while.
    pub fn call(&mut self, wait: Duration, terms: Call) -> usize {
        let node = self.rng.u32(0..self.nodes.len() as u32);
        let call = self.callers.open(self.now + wait, &terms);
        let waits_at = None;
        let happening = Happening::Call {
            node,
            call,
            terms,
            waits_at,
        };
        self.after(wait, happening);
        call
    }

    /// Runs for a while.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if end < entry.key().0 {
                break;
            }
            let ((at, _), happening) = entry.remove_entry();
            self.now = at;
            self.happen(happening);
        }
        self.now = end;
    }

    /// Ends all faults. A stopped node wakes in its time.
    pub fn heal(&mut self) {
        self.faults = Faults::default();
        for node in &mut self.nodes {
            node.cut_until = self.now;
            node.down_until = node.down_until.min(self.now);
        }
        self.log.away_until = self.now;
    }

    fn after(&mut self, wait: Duration, happening: Happening) {
        self.queued += 1;
        self.queue.insert((self.now + wait, self.queued), happening);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Call {
                node,
                call,
                terms,
                waits_at,
            } => {
                self.take_call(node, call, terms, waits_at);
            }
            Happening::Event(place, event) => self.take_event(place, event),
            Happening::Propose(place, op) => self.take_proposal(place, op),
            Happening::Arrive(place) => self.take_request(place),
            Happening::QueryOutcome(place) => self.take_question(place),
            Happening::Tick(node) => self.tick(node),
            Happening::Fault => self.fault(),
            Happening::CallerLeaves(place) => {
                self.callers.leave(place.call);
                self.take_event(place, Event::CallerGone);
            }
        }
    }

    fn take_call(&mut self, at: u32, call: usize, terms: Call, waits_at: Option<u64>) {
        let now = self.now;
        let node = &mut self.nodes[at as usize];
        let life = node.life;
        if node.is_down(now) || waits_at.is_some_and(|waits_at| waits_at != life) {
            return self.callers.leave(call);
        }
        if now < node.frozen_until {
            let wait = node.frozen_until.since(now);
            let waits_at = Some(life);
            return self.after(
                wait,
                Happening::Call {
                    node: at,
                    call,
                    terms,
                    waits_at,
                },
            );
        }
        let Ok((sequence, steps)) = node.table.open_attempt(terms, now) else {
            return self.callers.leave(call);
        };
        node.calls.insert(sequence, (call, now));
        let place = Place {
            node: at,
            life: node.life,
            sequence,
            call,
        };
        if self.faults.every.is_some() && self.rng.u8(0..100) < 5 {
            let wait = ms(self.rng.u64(0..3_000));
            self.after(wait, Happening::CallerLeaves(place));
        }
        self.take_steps(place, steps);
    }

    fn take_event(&mut self, place: Place, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[place.node as usize];
        if node.life != place.life || node.is_down(now) {
            return;
        }
        if now < node.frozen_until {
            let wait = node.frozen_until.since(now);
            return self.after(wait, Happening::Event(place, event));
        }
        if let Event::Reply(_) = event {
            node.table.note_applied_index(self.log.state.applied(), now);
        }
        let steps = node.table.handle_event(place.sequence, event, now);
        self.take_steps(place, steps);
    }

    fn take_steps(&mut self, place: Place, steps: Vec<Action>) {
        for step in steps {
            match step {
                Action::Propose(op) => {
                    let wait = self.delay();
                    self.send(place, wait, Happening::Propose(place, op));
                }
                Action::Connect => self.connect(place),
                Action::WriteRequest => self.write(place),
                Action::QueryOutcome => {
                    let wait = self.delay();
                    self.send(place, wait, Happening::QueryOutcome(place));
                }
                Action::Answer(answer) => self.answer(place, answer),
                Action::DropConnection | Action::Close => {}
            }
        }
    }

    fn answer(&mut self, place: Place, answer: Answer) {
        self.callers.answer(place.call, self.now, answer);
    }

    fn connect(&mut self, place: Place) {
        let refused = self.is_cut(place.node) || self.rng.u8(0..100) < self.faults.lost;
        let event = if refused {
            Event::ConnectFailed
        } else {
            Event::Connected
        };
        let wait = self.delay();
        self.after(wait, Happening::Event(place, event));
    }

    fn write(&mut self, place: Place) {
        let (_, taken_at) = self.nodes[place.node as usize].calls[&place.sequence];
        assert!(
            self.now.since(taken_at) < SEND_WINDOW,
            "written late: {place:?}"
        );
        let wait = self.delay();
        if self.rng.u8(0..100) < self.faults.lost {
            // The link drops; the request may have left or not.
            let lost = self.delay() + wait;
            self.after(lost, Happening::Event(place, Event::ConnectionLost));
            if self.rng.bool() {
                return;
            }
        }
        self.send(place, wait, Happening::Arrive(place));
    }

    fn take_request(&mut self, place: Place) {
        let call = place.call;
        if 0 < self.faults.lost && self.rng.u8(0..100) < 5 {
            let wait = self.delay();
            return self.send(place, wait, Happening::Event(place, Event::Declined));
        }
        let terms = self.callers.terms(call);
        let answer = self.service.run(call, &terms, self.callers.opened_at(call));
        let wait = self.delay() + ms(self.rng.u64(0..200));
        let late = 0 < self.faults.lost && self.rng.u8(0..100) < 10;
        let wait = if late { wait + ms(12_000) } else { wait };
        self.send(
            place,
            wait,
            Happening::Event(place, Event::Answered(answer)),
        );
    }

    fn take_question(&mut self, place: Place) {
        let reply = self.service.ask(&self.callers.terms(place.call));
        let wait = self.delay();
        self.send(
            place,
            wait,
            Happening::Event(place, Event::OutcomeQueried(reply)),
        );
    }

    fn take_proposal(&mut self, place: Place, op: Op) {
        let proposal = match op {
            Op::Withdraw(_) => ProposalKind::Withdraw,
            Op::Record(_) | Op::Learn(_) => ProposalKind::Record,
            _ => ProposalKind::Claim,
        };
        let wait = self.delay();
        if self.now < self.log.away_until {
            return self.send(
                place,
                wait,
                Happening::Event(place, Event::ProposalLost(proposal)),
            );
        }
        let reply = self.log.append(self.now, op.clone());
        if self.rng.u8(0..100) < self.faults.lost {
            // A leader change: the entry comes again, much later.
            let late = ms(self.rng.u64(0..4_000));
            self.after(late, Happening::Propose(place, op));
        }
        self.send(place, wait, Happening::Event(place, Event::Reply(reply)));
    }

    /// Sends a message between a node and something else, which may be lost.
    fn send(&mut self, place: Place, wait: Duration, happening: Happening) {
        if self.is_cut(place.node) || self.rng.u8(0..100) < self.faults.lost {
            return;
        }
        self.after(wait, happening);
    }

    fn is_cut(&self, node: u32) -> bool {
        self.now < self.nodes[node as usize].cut_until
    }

    fn delay(&mut self) -> Duration {
        let slow = 0 < self.faults.lost && self.rng.u8(0..20) == 0;
        ms(self.rng.u64(1..if slow { 3_000 } else { 12 }))
    }

    fn tick(&mut self, at: u32) {
        let now = self.now;
        let node = &mut self.nodes[at as usize];
        if now < node.frozen_until || node.is_down(now) {
            return self.after(ms(10), Happening::Tick(at));
        }
        let life = node.life;
        let steps = node.table.tick(now);
        let calls = node.calls.clone();
        for (sequence, step) in steps {
            let place = Place {
                node: at,
                life,
                sequence,
                call: calls[&sequence].0,
            };
            self.take_steps(place, vec![step]);
        }
        self.after(ms(10), Happening::Tick(at));
    }

    fn fault(&mut self) {
        let Some(every) = self.faults.every else {
            return;
        };
        let now = self.now;
        let at = self.rng.u32(0..self.nodes.len() as u32);
        let span = ms(self.rng.u64(10..6_000));
        let node = &mut self.nodes[at as usize];
        match self.rng.u8(0..6) {
            0 => {
                let life = node.life + 1;
                *node = Node::new(at, life, now + span);
                let op = Op::Gone {
                    node: NodeId(at),
                    before: Incarnation(life),
                };
                self.log.append(now, op);
            }
            1 => node.stop_until(now + span),
            2 => node.stop_until(now + 20 * span),
            3 => node.cut_until = now + span,
            4 => self.log.away_until = now + span,
            _ => self.log.restart(),
        }
        let wait = ms(self.rng.u64(0..2 * every.as_millis() as u64));
        self.after(wait, Happening::Fault);
    }
}

impl Node {
    fn new(node: u32, life: u64, start: Time) -> Self {
        Self {
            life,
            table: AttemptTable::new(start, NodeId(node), Incarnation(life), MAX_OPEN),
            frozen_until: Time::ZERO,
            cut_until: Time::ZERO,
            down_until: start,
            calls: BTreeMap::new(),
        }
    }

    fn stop_until(&mut self, end: Time) {
        self.frozen_until = self.frozen_until.max(end);
    }

    fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
