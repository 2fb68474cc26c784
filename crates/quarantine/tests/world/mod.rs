//! A simulated deployment: entry hosts, replicas with batches, a leader and messages between
//! them that are delayed, lost and overtaken. It counts what the rules for such requests allow.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time::Duration;

use fastrand::Rng;

use base::Incarnation;
use base::NodeId;
use base::RequestContent;
use base::RequestDigest;
use base::RequestPart;
use base::Time;
use base::UpstreamId;
use quarantine::Admission;
use quarantine::Evidence;
use quarantine::NoticeList;
use quarantine::PartGuard;
use quarantine::PartSet;
use quarantine::Quarantine;

const STEP: Duration = Duration::from_millis(10);

/// The time within which entry hosts must know a part that ends replicas.
pub const CONTACT: Duration = Duration::from_secs(3);

/// How long a replica is gone after its end.
const DOWNTIME: Duration = Duration::from_millis(3_000);

/// Time between two announcements of a replica.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// What serves the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Replicas of a model. Requests share parts of their prompts.
    Engine,
    /// Processes of a plain service. Requests share no parts.
    Plain,
}

impl Service {
    /// From the begin of a fatal request to the end of its replica.
    fn time_to_crash(self) -> Duration {
        Duration::from_millis(match self {
            Self::Engine => 80,
            Self::Plain => 10,
        })
    }

    /// An answer that goes on this long is reported as sound.
    fn settle_time(self) -> Duration {
        Duration::from_millis(match self {
            Self::Engine => 500,
            Self::Plain => 30,
        })
    }

    fn answer_time(self) -> Duration {
        Duration::from_millis(match self {
            Self::Engine => 1_500,
            Self::Plain => 30,
        })
    }

    /// The longest time that a request waits for its turn.
    fn max_queue_ms(self) -> u64 {
        match self {
            Self::Engine => 300,
            Self::Plain => 100,
        }
    }
}

/// How entry hosts decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// By the evidence of all, over the leader.
    Shared,
    /// Each by what it saw itself.
    Alone,
    /// They ban nothing, and repeat nothing that broke.
    NoRepeat,
    /// They ban the organisation of a broken request, over the leader.
    ByOrganisation,
}

/// What a world does.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub entries: usize,
    pub replicas: usize,
    pub service: Service,
    pub policy: Policy,
    /// Whether all fatal requests are repetitions of one.
    pub is_one_request: bool,
    /// Fatal requests that arrive at once, at different entry hosts.
    pub fatal_burst: usize,
    /// Ends of replicas that are allowed before entry hosts must know.
    pub allowed_ends: usize,
    /// The part of the sound requests that are repetitions of one.
    pub popular_share: f64,
    /// Connections a second that break though their replica goes on.
    pub breaks_per_sec: f64,
    /// The shared parts of requests that end replicas, one list for each kind.
    pub fatal: Vec<Vec<&'static str>>,
    /// The parts that end replicas.
    pub fatal_parts: Vec<&'static str>,
    pub fatal_per_sec: f64,
    /// The part of the requests with a fatal part that end their replica.
    pub fatal_share: f64,
    pub sound_per_sec: f64,
    /// Whether single replicas and whole domains end for other reasons.
    pub ordinary_ends: bool,
    /// Whether the leader changes, and entry hosts restart.
    pub restarts: bool,
    /// The share of messages that is lost.
    pub loss: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            entries: 9,
            replicas: 20,
            service: Service::Engine,
            policy: Policy::Shared,
            is_one_request: false,
            fatal_burst: 1,
            allowed_ends: 5,
            popular_share: 0.0,
            breaks_per_sec: 0.0,
            fatal: vec![vec!["common", "fatal"]],
            fatal_parts: vec!["fatal"],
            fatal_per_sec: 6.0,
            fatal_share: 1.0,
            sound_per_sec: 60.0,
            ordinary_ends: false,
            restarts: false,
            loss: 0.02,
        }
    }
}

/// What came of a world.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Replicas that requests ended.
    pub fatal_ends: usize,
    /// Requests with a fatal part that reached replicas later than allowed.
    pub late_fatal: usize,
    /// Sound requests since the time from which they must be served again, and those that began
    /// at the first attempt.
    pub sound_later: usize,
    pub sound_begun_later: usize,
    /// Sound requests in all, and those that were answered.
    pub sound: usize,
    pub sound_answered: usize,
    /// Bans that hold for sound requests at the end.
    pub false_bans: Vec<PartSet>,
}

#[derive(Clone, Debug)]
struct Request {
    entry: usize,
    parts: Vec<RequestPart>,
    is_fatal: bool,
    crashes: bool,
    attempt: u32,
    arrived: Time,
    sent_at: Time,
    begins_at: Time,
    is_settled: bool,
}

#[derive(Clone, Debug)]
struct Replica {
    id: UpstreamId,
    incarnation: Incarnation,
    up_from: Time,
    /// When the leader last heard the process, and which incarnation.
    heard: (Incarnation, Time),
    announces_at: Time,
    running: Vec<Request>,
}

enum Message {
    ToLeader(Evidence),
    ToEntry(usize, NoticeList),
}

pub struct World {
    cfg: Scenario,
    rng: Rng,
    now: Time,
    guards: Vec<PartGuard>,
    /// When each entry host last started, and evidence is due.
    started: Vec<Time>,
    reported_at: Vec<Time>,
    is_due: Vec<bool>,
    replicas: Vec<Replica>,
    leader: Quarantine,
    term: u64,
    leads_from: Time,
    sent_edition: fleet::Edition,
    messages: Vec<(Time, Message)>,
    fatal_end_times: Vec<Time>,
    last_disruption: Time,
    outcome: Outcome,
    requests: u64,
}

/// The part that stands for all of a request.
fn whole(body: &str) -> RequestPart {
    RequestPart::Whole(RequestDigest::of(&RequestContent {
        organisation: None,
        method: "POST",
        host: "a.example",
        path: "/",
        body: body.as_bytes(),
    }))
}

fn part(text: &str) -> RequestPart {
    text.parse().unwrap()
}

impl World {
    pub fn new(cfg: Scenario, seed: u64) -> Self {
        let replica = |index: usize| Replica {
            id: format!("h{index}").parse().unwrap(),
            incarnation: Incarnation(1),
            up_from: Time::ZERO,
            heard: (Incarnation(1), Time::ZERO),
            announces_at: Time::from_millis(37 * index as u64),
            running: Vec::new(),
        };
        Self {
            rng: Rng::with_seed(seed),
            now: Time::from_millis(1),
            guards: (0..cfg.entries).map(Self::guard).collect(),
            started: vec![Time::ZERO; cfg.entries],
            reported_at: vec![Time::ZERO; cfg.entries],
            is_due: vec![false; cfg.entries],
            replicas: (0..cfg.replicas).map(replica).collect(),
            leader: Quarantine::default(),
            term: 1,
            leads_from: Time::ZERO,
            sent_edition: fleet::Edition::default(),
            messages: Vec::new(),
            fatal_end_times: Vec::new(),
            last_disruption: Time::ZERO,
            outcome: Outcome::default(),
            requests: 0,
            cfg,
        }
    }

    fn guard(entry: usize) -> PartGuard {
        PartGuard::new(NodeId(entry as u32))
    }

    /// Plays the world: traffic for `span`, requests with fatal parts from the fifth second on.
    pub fn run(mut self, span: Duration) -> Outcome {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.deliver_messages();
            self.lead();
            self.announce();
            self.disrupt();
            self.advance_replicas();
            self.send_requests();
            self.report();
        }
        let bans: Vec<PartSet> = self.guards[0]
            .bans(self.now)
            .map(|ban| ban.parts.clone())
            .collect();
        let mut fatal: PartSet = self.cfg.fatal_parts.iter().map(|id| part(id)).collect();
        if self.cfg.is_one_request {
            fatal.insert(whole("fatal"));
        }
        self.outcome.false_bans = bans
            .into_iter()
            .filter(|parts| parts.is_disjoint(&fatal))
            .collect();
        self.outcome.fatal_ends = self.fatal_end_times.len();
        self.outcome
    }

    fn chance(&mut self, per_sec: f64) -> bool {
        self.rng.f64() < per_sec * STEP.as_secs_f64()
    }

    fn delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(5..150))
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let (due, waiting) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.messages = waiting;
        let due: Vec<(Time, Message)> = due;
        for (_, message) in due {
            match message {
                Message::ToLeader(evidence) => self.leader.record(evidence, now),
                Message::ToEntry(entry, list) => {
                    self.guards[entry].apply(list);
                    self.is_due[entry] = true;
                }
            }
        }
    }

    fn lead(&mut self) {
        let is_leading = self.leads_from <= self.now;
        self.leader
            .set_term(is_leading.then_some(self.term), self.now);
        for (host, incarnation) in self.leader.ended_processes() {
            let replica = self.replicas.iter().find(|replica| replica.id == host);
            let heard = replica.unwrap().heard;
            if heard.0 == incarnation {
                self.leader.record_alive(&host, incarnation, heard.1);
            }
        }
        self.leader.tick(self.now);
        let list = self.leader.published().clone();
        if self.sent_edition < list.edition {
            self.sent_edition = list.edition;
            for entry in 0..self.cfg.entries {
                let at = self.now + self.delay();
                self.messages
                    .push((at, Message::ToEntry(entry, list.clone())));
            }
        }
    }

    /// Has replicas announce themselves to the leader.
    fn announce(&mut self) {
        let now = self.now;
        for replica in &mut self.replicas {
            if replica.up_from <= now && replica.announces_at <= now {
                replica.announces_at = now + ANNOUNCE_INTERVAL;
                replica.heard = (replica.incarnation, now);
            }
        }
    }

    /// Breaks the connections of one request at a replica that goes on.
    fn break_connection(&mut self) {
        let index = self.rng.usize(0..self.replicas.len());
        let replica = &mut self.replicas[index];
        let process = (replica.id.clone(), replica.incarnation);
        let Some(request) = replica.running.pop() else {
            return;
        };
        self.record_broken(&process, request);
    }

    fn disrupt(&mut self) {
        if self.chance(self.cfg.breaks_per_sec) {
            self.break_connection();
        }
        if self.cfg.ordinary_ends && self.chance(0.2) {
            // A single replica, or a domain of five.
            let count = if self.rng.bool() { 1 } else { 5 };
            let first = self.rng.usize(0..self.replicas.len());
            for index in first..(first + count).min(self.replicas.len()) {
                self.end_replica(index);
            }
        }
        if self.cfg.restarts && self.chance(0.05) {
            self.last_disruption = self.now;
            self.term += 1;
            self.leads_from = self.now + Duration::from_millis(1_200);
            // The next leader followed the last one, or started with it and knows nothing.
            let mut next = Quarantine::default();
            if self.rng.bool() {
                next.follow(self.leader.published().clone());
            }
            self.leader = next;
        }
        if self.cfg.restarts && self.chance(0.1) {
            let entry = self.rng.usize(0..self.cfg.entries);
            self.guards[entry] = Self::guard(entry);
            self.guards[entry].apply(self.leader.published().clone());
            self.started[entry] = self.now;
        }
    }

    fn end_replica(&mut self, index: usize) {
        let now = self.now;
        let replica = &mut self.replicas[index];
        if now < replica.up_from {
            return;
        }
        replica.up_from = now + DOWNTIME;
        let process = (replica.id.clone(), replica.incarnation);
        replica.incarnation.0 += 1;
        for request in std::mem::take(&mut replica.running) {
            self.record_broken(&process, request);
        }
    }

    fn record_broken(&mut self, process: &(UpstreamId, Incarnation), request: Request) {
        let entry = request.entry;
        if request.sent_at < self.started[entry] {
            return;
        }
        if !request.is_settled {
            let process = (&process.0, process.1);
            self.guards[entry].record_crash(process, &request.parts, request.sent_at, self.now);
            self.is_due[entry] = true;
        }
        self.repeat(request);
    }

    fn repeat(&mut self, request: Request) {
        let guard = &self.guards[request.entry];
        let may_repeat = match self.cfg.policy {
            Policy::NoRepeat => false,
            _ => guard.may_repeat(&request.parts, self.now),
        };
        if may_repeat && request.attempt < 2 {
            self.send(Request {
                attempt: request.attempt + 1,
                is_settled: false,
                ..request
            });
        }
    }

    fn advance_replicas(&mut self) {
        let service = self.cfg.service;
        for index in 0..self.replicas.len() {
            let now = self.now;
            let mut has_crashed = false;
            let mut settled = Vec::new();
            self.replicas[index].running.retain_mut(|request| {
                let since = now.since(request.begins_at);
                has_crashed |= request.crashes && service.time_to_crash() <= since;
                if !request.crashes && !request.is_settled && service.settle_time() <= since {
                    request.is_settled = true;
                    settled.push(request.clone());
                }
                since < service.answer_time()
            });
            for request in settled {
                let guard = &mut self.guards[request.entry];
                if guard.record_sound(&request.parts, now) {
                    self.is_due[request.entry] = true;
                }
                if !request.is_fatal {
                    self.outcome.sound_answered += 1;
                }
            }
            if has_crashed {
                self.fatal_end_times.push(now);
                self.end_replica(index);
            }
        }
    }

    fn send_requests(&mut self) {
        if self.chance(self.cfg.sound_per_sec) {
            let kind = self.rng.u32(0..12);
            let mut ids = vec!["common".to_owned(), format!("kind{kind}")];
            if self.rng.u32(0..4) == 0 {
                // A part that nobody has seen before.
                ids.push(format!("new{}", self.now.0));
            }
            let is_popular = self.rng.f64() < self.cfg.popular_share;
            let body = match is_popular {
                true => "popular".to_owned(),
                false => self.new_body(),
            };
            self.arrive(&ids, &body, false);
        }
        let begins = Time::from_millis(5_000);
        if begins <= self.now && self.chance(self.cfg.fatal_per_sec) {
            let kind = self.rng.usize(0..self.cfg.fatal.len());
            let ids = self.cfg.fatal[kind].iter().map(|id| (*id).to_owned());
            let ids: Vec<String> = ids.collect();
            for _ in 0..self.cfg.fatal_burst {
                let body = match self.cfg.is_one_request {
                    true => "fatal".to_owned(),
                    false => self.new_body(),
                };
                self.arrive(&ids, &body, true);
            }
        }
    }

    /// The body of a request that is like no other.
    fn new_body(&mut self) -> String {
        self.requests += 1;
        self.requests.to_string()
    }

    fn arrive(&mut self, ids: &[String], body: &str, is_fatal: bool) {
        let entry = self.rng.usize(0..self.cfg.entries);
        let crashes = is_fatal && self.rng.f64() < self.cfg.fatal_share;
        let shared = match self.cfg.service {
            Service::Engine => ids,
            Service::Plain => &[],
        };
        let mut parts: Vec<RequestPart> = shared.iter().map(|id| part(id)).collect();
        parts.push(whole(body));
        if !is_fatal {
            self.outcome.sound += 1;
            self.outcome.sound_later += usize::from(self.must_serve_again());
        }
        let checked = match self.cfg.policy {
            Policy::NoRepeat => Vec::new(),
            Policy::Shared | Policy::Alone => parts.clone(),
            Policy::ByOrganisation => vec![part("organisation")],
        };
        let is_allowed = self.guards[entry].admit(&checked, self.now) != Admission::Banned;
        if is_allowed {
            self.send(Request {
                entry,
                parts,
                is_fatal,
                crashes,
                attempt: 1,
                arrived: self.now,
                sent_at: self.now,
                begins_at: self.now,
                is_settled: false,
            });
        }
    }

    fn send(&mut self, mut request: Request) {
        let now = self.now;
        let up: Vec<usize> = (0..self.replicas.len())
            .filter(|index| self.replicas[*index].up_from <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        let index = up[self.rng.usize(0..up.len())];
        request.sent_at = now;
        let max_ms = self.cfg.service.max_queue_ms();
        request.begins_at = now + Duration::from_millis(self.rng.u64(max_ms / 4..max_ms));
        if request.is_fatal {
            self.count_fatal(&request);
        } else if request.attempt == 1 && self.must_serve_again() {
            self.outcome.sound_begun_later += 1;
        }
        if self.cfg.policy == Policy::ByOrganisation {
            // All requests are one organisation's, which stands for its parts.
            request.parts = vec![part("organisation")];
        }
        self.replicas[index].running.push(request);
    }

    /// Counts a request with a fatal part that reaches a replica later than allowed, from an
    /// entry host in touch.
    fn count_fatal(&mut self, request: &Request) {
        let since = self.started[request.entry].max(self.last_disruption);
        let is_in_touch = since == Time::ZERO || CONTACT * 2 < self.now.since(since);
        let known = self.fatal_end_times.get(self.cfg.allowed_ends - 1);
        if is_in_touch && known.is_some_and(|at| CONTACT < self.now.since(*at)) {
            self.outcome.late_fatal += 1;
        }
    }

    fn must_serve_again(&self) -> bool {
        let last = self.fatal_end_times.get(self.cfg.allowed_ends - 1);
        let last = last.or(self.fatal_end_times.last());
        last.is_some_and(|at| CONTACT * 2 < self.now.since(*at))
    }

    fn report(&mut self) {
        if self.cfg.policy == Policy::Alone {
            return;
        }
        for entry in 0..self.cfg.entries {
            let is_regular = Duration::from_secs(1) <= self.now.since(self.reported_at[entry]);
            if !self.is_due[entry] && !is_regular {
                continue;
            }
            self.reported_at[entry] = self.now;
            self.is_due[entry] = false;
            let evidence = self.guards[entry].take_evidence(self.now);
            if self.rng.f64() < self.cfg.loss {
                self.guards[entry].report_again();
            } else if !evidence.is_empty() {
                let delay = self.delay();
                let evidence = evidence.aged(delay);
                self.messages
                    .push((self.now + delay, Message::ToLeader(evidence)));
            }
        }
    }
}
