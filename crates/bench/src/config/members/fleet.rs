//! Many members on one virtual clock, with links between data centres.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::spent::Load;
use super::spent::Spent;
use base::CentreId;
use base::Incarnation;
use base::NodeId;
use base::Time;
use base::Version;
use members::Config;
use members::DATAGRAM_OVERHEAD_BYTES;
use members::Item;
use members::ItemKind;
use members::ItemUpdate;
use members::Members;
use members::Peer;
use members::PullSource;
use members::Puller;
use members::Scope;
use members::Timing;

/// Microseconds between two ticks of a node.
const TICK_US: u64 = 50_000;

/// Microseconds one way, least and most, and share of datagrams lost.
const NEAR: (u64, u64, f64) = (200, 800, 0.001);
const FAR: (u64, u64, f64) = (2_000, 9_000, 0.01);

/// Microseconds a voter or mate takes to answer an ask with the configuration.
const ANSWER_US: u64 = 20_000;

/// Microseconds between two reports of loads and demand by a node.
const REPORT_US: u64 = 5_000_000;

#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    Datagram(usize, usize, Vec<u8>),
    Ask(usize, usize),
    Answer(usize, Version),
    Change,
    Report(usize),
}

struct Seat {
    peer: Peer,
    members: Members,
    puller: Puller,
    version: Version,
    sent: usize,
    received: usize,
    datagrams: usize,
    busy: Duration,
    published_at: u64,
    published: usize,
    in_time: usize,
}

/// All nodes.
pub struct Fleet {
    seats: Vec<Seat>,
    voters: Vec<NodeId>,
    load: Load,
    rng: fastrand::Rng,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
    /// When each version was accepted, where it is in force, and since when on
    /// the last node.
    versions: Vec<(u64, usize, u64)>,
    reset_at: u64,
    /// Asks for a newer configuration.
    pub asks: u32,
}

impl Fleet {
    /// Starts all nodes at once. The first nodes of the first three data
    /// centres vote.
    pub fn open((centres, per_centre): (u32, u32), load: Load, seed: u64) -> Self {
        let mut fleet = Self {
            seats: Vec::new(),
            voters: (0..centres.min(3))
                .map(|at| NodeId(at * per_centre))
                .collect(),
            load,
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            events: BTreeMap::new(),
            count: 0,
            versions: Vec::new(),
            reset_at: 0,
            asks: 0,
        };
        let peers: Vec<Peer> = (0..centres * per_centre)
            .map(|node| Peer {
                node: NodeId(node),
                centre: CentreId(node / per_centre),
                addr: ([10, 0, (node >> 8) as u8, node as u8], 7_000).into(),
            })
            .collect();
        for (at, peer) in peers.iter().enumerate() {
            let seat = fleet.seat(*peer, &peers);
            fleet.seats.push(seat);
            let phase = fleet.rng.u64(0..TICK_US);
            fleet.put(phase, Event::Tick(at));
            let phase = fleet.rng.u64(0..REPORT_US);
            fleet.put(phase, Event::Report(at));
        }
        fleet
    }

    fn seat(&mut self, peer: Peer, peers: &[Peer]) -> Seat {
        let cfg = Config {
            me: peer,
            incarnation: Incarnation(1_790_000_000_000 + self.rng.u64(0..1_000)),
            seed_peers: peers
                .iter()
                .copied()
                .filter(|other| *other != peer)
                .collect(),
            rng_seed: self.rng.u64(..),
            timing: Timing::default(),
        };
        Seat {
            peer,
            members: Members::new(cfg, Time(0)),
            puller: Puller::new(self.rng.u64(..)),
            version: Version(0),
            sent: 0,
            received: 0,
            datagrams: 0,
            busy: Duration::ZERO,
            published_at: 0,
            published: 0,
            in_time: 0,
        }
    }

    /// Has the voters accept one more version at this time.
    pub fn change_at(&mut self, at: Duration) {
        self.put(at.as_micros() as u64, Event::Change);
    }

    /// Runs until this time since the start.
    pub fn run_until(&mut self, end: Duration) {
        let end = end.as_micros() as u64;
        while let Some(first) = self.events.first_entry() {
            if end < first.key().0 {
                return;
            }
            let ((at, _), event) = first.remove_entry();
            self.now = at;
            self.happen(event);
        }
    }

    /// Forgets what was spent so far.
    pub fn reset(&mut self) {
        self.reset_at = self.now;
        for seat in &mut self.seats {
            seat.sent = 0;
            seat.received = 0;
            seat.datagrams = 0;
            seat.busy = Duration::ZERO;
            seat.published = 0;
            seat.in_time = 0;
        }
    }

    /// What was spent since the reset.
    pub fn spent(&self, span: Duration) -> Spent {
        let span = span.as_secs_f64();
        let rate = |value: fn(&Seat) -> f64| -> Vec<f64> {
            self.seats.iter().map(|seat| value(seat) / span).collect()
        };
        let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
        let most = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
        let core = rate(|seat| seat.busy.as_secs_f64());
        let in_time: usize = self.seats.iter().map(|seat| seat.in_time).sum();
        let published: usize = self.seats.iter().map(|seat| seat.published).sum();
        let mates = self
            .seats
            .iter()
            .filter(|seat| seat.peer.centre == CentreId(0))
            .count()
            - 1;
        let due = (published * mates).max(1);
        let memory = |seat: &Seat| {
            let usage = seat.members.memory_usage();
            (usage.roster + usage.items + usage.outbox) as f64
        };
        Spent {
            sent: mean(&rate(|seat| seat.sent as f64)),
            received: mean(&rate(|seat| seat.received as f64)),
            both_max: most(&rate(|seat| (seat.sent + seat.received) as f64)),
            datagrams: mean(&rate(|seat| seat.datagrams as f64)),
            core: mean(&core),
            core_max: most(&core),
            in_time: (0 < published).then_some(in_time as f64 / due as f64),
            memory: self.seats.iter().map(memory).sum::<f64>() / self.seats.len() as f64,
        }
    }

    /// Times from acceptance until in force on the last node, of the versions
    /// that are in force on all.
    pub fn waits(&self) -> Vec<Duration> {
        let all = self.versions.iter();
        let done = all.filter(|(_, nodes, _)| *nodes == self.seats.len());
        let waits = done.map(|(accepted, _, last)| Duration::from_micros(last - accepted));
        waits.collect()
    }

    fn put(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(at) => {
                self.put(self.now + TICK_US, Event::Tick(at));
                self.timed(at, |seat, now| seat.members.tick(now));
                self.pull(at);
                self.flush(at);
            }
            Event::Datagram(from, to, bytes) => {
                let size = bytes.len() + DATAGRAM_OVERHEAD_BYTES;
                let from = self.seats[from].peer.node;
                self.seats[to].received += size;
                self.seats[to].datagrams += 1;
                let mut news = Vec::new();
                self.timed(to, |seat, now| {
                    seat.members.receive(from, &bytes, now);
                    news = seat.members.take_item_updates();
                });
                self.count_reports(to, &news);
                self.flush(to);
            }
            Event::Ask(from, to) => {
                let version = self.seats[to].version;
                if let Some(delay) = self.delay(to, from) {
                    let due = self.now + delay + ANSWER_US;
                    self.put(due, Event::Answer(from, version));
                }
            }
            Event::Answer(to, version) => {
                self.set_version(to, version);
                let now = Time(self.now);
                self.seats[to].puller.finish_ask(now);
                self.flush(to);
            }
            Event::Change => self.change(),
            Event::Report(at) => self.report(at),
        }
    }

    fn count_reports(&mut self, at: usize, news: &[ItemUpdate]) {
        for report in news.iter().filter(|news| news.item.kind == ItemKind::Loads) {
            let origin = report.origin.0 as usize;
            let age = self.now - self.seats[origin].published_at;
            let is_counted = self.reset_at <= self.seats[origin].published_at;
            self.seats[at].in_time += usize::from(is_counted && age < REPORT_US);
        }
    }

    fn timed(&mut self, at: usize, act: impl FnOnce(&mut Seat, Time)) {
        let seat = &mut self.seats[at];
        let begun = Instant::now();
        act(seat, Time(self.now));
        seat.busy += begun.elapsed();
    }

    fn flush(&mut self, at: usize) {
        let mut packets = Vec::new();
        self.timed(at, |seat, now| packets = seat.members.take_packets(now));
        for packet in packets {
            let to = packet.to.0 as usize;
            self.seats[at].sent += packet.bytes.len() + DATAGRAM_OVERHEAD_BYTES;
            self.seats[at].datagrams += 1;
            if let Some(delay) = self.delay(at, to) {
                let datagram = Event::Datagram(at, to, packet.bytes);
                self.put(self.now + delay, datagram);
            }
        }
    }

    /// Time under way, unless it is lost.
    fn delay(&mut self, from: usize, to: usize) -> Option<u64> {
        let is_near = self.seats[from].peer.centre == self.seats[to].peer.centre;
        let (least, most, loss) = if is_near { NEAR } else { FAR };
        let delay = self.rng.u64(least..=most);
        (loss <= self.rng.f64()).then_some(delay)
    }

    fn change(&mut self) {
        let version = Version(self.versions.len() as u64 + 1);
        self.versions.push((self.now, 0, self.now));
        for voter in self.voters.clone() {
            let at = voter.0 as usize;
            self.set_version(at, version);
            self.flush(at);
        }
    }

    fn set_version(&mut self, at: usize, version: Version) {
        let before = self.seats[at].version;
        if version <= before {
            return;
        }
        self.seats[at].version = version;
        for number in before.0..version.0 {
            let (_, nodes, last) = &mut self.versions[number as usize];
            *nodes += 1;
            *last = self.now;
        }
        self.timed(at, |seat, now| seat.members.set_version(version, now));
    }

    fn pull(&mut self, at: usize) {
        let is_voter = self.voters.contains(&self.seats[at].peer.node);
        if is_voter {
            return;
        }
        let voters = self.voters.clone();
        let mut source = None;
        self.timed(at, |seat, now| {
            let pull_state = seat.members.pull_state(&voters, now);
            source = seat.puller.tick(&pull_state, now);
        });
        let Some(PullSource::LocalMember(to) | PullSource::Voter(to)) = source else {
            return;
        };
        self.asks += 1;
        let to = to.0 as usize;
        if let Some(delay) = self.delay(at, to) {
            self.put(self.now + delay, Event::Ask(at, to));
        }
    }

    fn report(&mut self, at: usize) {
        if self.load == Load::None {
            return;
        }
        self.put(self.now + REPORT_US, Event::Report(at));
        self.seats[at].published_at = self.now;
        self.seats[at].published += 1;
        self.publish(at, ItemKind::Loads, Scope::Centre, Load::LOADS_BYTES);
        self.publish(at, ItemKind::Demand, Scope::Centre, Load::DEMAND_BYTES);
        if self.seats[at].members.is_centre_reporter() {
            self.publish(
                at,
                ItemKind::DemandSummary,
                Scope::Everywhere,
                Load::SUMMARY_BYTES,
            );
        }
        self.flush(at);
    }

    fn publish(&mut self, at: usize, kind: ItemKind, scope: Scope, bytes: usize) {
        let mut body = vec![at as u8; bytes];
        self.rng.fill(&mut body);
        let item = Item {
            kind,
            key: 0,
            body,
            scope,
            ttl: Duration::from_micros(REPORT_US * 3),
        };
        self.timed(at, |seat, now| {
            seat.members.publish(item, now);
        });
    }
}
