//! A version that the voters accepted is in force everywhere within 6 s, never
//! goes back, and no voter is asked by all at once.

mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::world::CALM;
use crate::world::STEP;
use crate::world::World;
use crate::world::seeds;
use base::NodeId;
use base::Time;
use base::Version;
use members::PullSource;
use members::PullState;
use members::Puller;

/// Longest time from acceptance until in force at every node that is reachable.
const IN_FORCE_BOUND: Duration = Duration::from_secs(6);

/// An ask on its way, or its answer.
struct Ask {
    due: u64,
    asker: usize,
    answerer: usize,
    answer: Option<Version>,
}

/// Nodes that pull; the versions in force are what they have on record.
struct Pulls {
    world: World,
    pullers: Vec<Puller>,
    voters: Vec<NodeId>,
    own: Vec<Version>,
    asks: Vec<Ask>,
    loss: f64,
    /// Asks that each voter got in the present second.
    second: BTreeMap<(u64, usize), u32>,
}

impl Pulls {
    fn open(centres: u32, per_centre: u32, seed: u64) -> Self {
        println!("seed {seed}");
        let mut world = World::open(centres, per_centre, seed, CALM);
        let wait = world.until(Duration::from_secs(25), World::is_settled);
        wait.expect("not settled after the start");
        let count = world.nodes.len();
        let voters = (0..3).map(|centre| NodeId(centre.min(centres - 1) * per_centre + centre));
        Self {
            pullers: (0..count).map(|at| Puller::new(seed + at as u64)).collect(),
            voters: voters.collect(),
            own: vec![Version(0); count],
            asks: Vec::new(),
            loss: 0.0,
            second: BTreeMap::new(),
            world,
        }
    }

    /// The voters accept a version.
    fn accept(&mut self, version: Version) {
        for voter in self.voters.clone() {
            self.put(voter.0 as usize, version);
        }
    }

    fn put(&mut self, at: usize, version: Version) {
        if self.own[at] < version {
            self.own[at] = version;
            let now = self.world.time();
            self.world.nodes[at].members.set_version(version, now);
        }
    }

    fn step(&mut self) {
        self.world.step();
        self.answer();
        for at in 0..self.pullers.len() {
            if self.world.is_running(at) && !self.voters.contains(&NodeId(at as u32)) {
                self.pull(at);
            }
        }
    }

    fn pull(&mut self, at: usize) {
        let now = self.world.time();
        let pull_state = self.world.nodes[at].members.pull_state(&self.voters, now);
        assert_eq!(pull_state.own_version, self.own[at]);
        let Some(source) = self.pullers[at].tick(&pull_state, now) else {
            return;
        };
        let (PullSource::LocalMember(to) | PullSource::Voter(to)) = source;
        let answerer = to.0 as usize;
        if let PullSource::Voter(_) = source {
            *self
                .second
                .entry((now.0 / 1_000_000, answerer))
                .or_default() += 1;
        }
        self.carry(at, answerer, None);
    }

    fn carry(&mut self, asker: usize, answerer: usize, answer: Option<Version>) {
        let [a, b] = [asker, answerer].map(|at| NodeId(at as u32));
        let is_cut = self.world.cuts.contains(&(a, b)) || self.world.cuts.contains(&(b, a));
        if is_cut || self.world.rng.f64() < self.loss {
            return;
        }
        let due = self.world.now + self.world.rng.u64(2_000..60_000);
        self.asks.push(Ask {
            due,
            asker,
            answerer,
            answer,
        });
    }

    fn answer(&mut self) {
        let now = self.world.now;
        let asks = std::mem::take(&mut self.asks);
        let (due, later): (Vec<Ask>, Vec<Ask>) = asks.into_iter().partition(|a| a.due <= now);
        self.asks = later;
        for ask in due {
            match ask.answer {
                None if self.world.is_running(ask.answerer) => {
                    self.carry(ask.asker, ask.answerer, Some(self.own[ask.answerer]));
                }
                Some(version) if self.world.is_running(ask.asker) => {
                    self.put(ask.asker, version);
                    self.pullers[ask.asker].finish_ask(Time(now));
                }
                _ => {}
            }
        }
    }

    /// Time until a version is in force at all of these nodes.
    fn until_in_force(&mut self, nodes: &[usize], version: Version) -> Duration {
        let begun = self.world.now;
        while nodes.iter().any(|at| self.own[*at] < version) {
            self.step();
            let waited = Duration::from_micros(self.world.now - begun);
            assert!(waited < IN_FORCE_BOUND, "not in force in time");
        }
        Duration::from_micros(self.world.now - begun)
    }

    fn run_for(&mut self, span: Duration) {
        for _ in 0..span.as_millis() / STEP.as_millis() {
            self.step();
        }
    }
}

#[test]
fn a_change_is_in_force_everywhere_within_6_s() {
    let mut longest = Duration::ZERO;
    let mut most = 0;
    for seed in seeds(9) {
        let (centres, per_centre) = [(3, 3), (6, 17), (1, 5)][seed as usize % 3];
        let mut pulls = Pulls::open(centres, per_centre, seed);
        pulls.loss = 0.1;
        pulls.world.net.loss = 0.1;
        let all: Vec<usize> = (0..pulls.own.len()).collect();
        for version in 1..=8 {
            pulls.accept(Version(version));
            longest = longest.max(pulls.until_in_force(&all, Version(version)));
            let pause = Duration::from_millis(pulls.world.rng.u64(0..3_000));
            pulls.run_for(pause);
        }
        most = most.max(pulls.second.values().copied().max().unwrap_or(0));
    }
    println!("longest {longest:?}, {most} asks of one voter in a second");
    assert!(most <= 10, "{most} asks of one voter in a second");
}

#[test]
fn a_burst_of_100_changes_is_fetched_by_few_asks() {
    let mut pulls = Pulls::open(3, 3, 5);
    let all: Vec<usize> = (0..9).collect();
    for version in 1..=100 {
        pulls.accept(Version(version));
        if version % 5 == 0 {
            pulls.step();
        }
    }
    pulls.until_in_force(&all, Version(100));
    let asks: u32 = pulls.second.values().sum();
    assert!(asks <= 30, "{asks} asks");
}

#[test]
fn a_cut_off_data_centre_keeps_its_version_and_catches_up() {
    for seed in seeds(6) {
        let mut pulls = Pulls::open(4, 4, seed);
        let all: Vec<usize> = (0..16).collect();
        let near: Vec<usize> = (0..12).collect();
        pulls.accept(Version(1));
        pulls.until_in_force(&all, Version(1));
        pulls.world.part(&[12, 13, 14, 15]);
        for version in 2..=20 {
            pulls.accept(Version(version));
            pulls.until_in_force(&near, Version(version));
        }
        assert!((12..16).all(|at| pulls.own[at] == Version(1)));
        pulls.run_for(Duration::from_secs(30));
        pulls.world.cuts.clear();
        pulls.until_in_force(&all, Version(20));
    }
}

#[test]
fn dead_voters_do_not_stop_the_others() {
    for seed in seeds(6) {
        let mut pulls = Pulls::open(3, 4, seed);
        pulls.accept(Version(1));
        let first = pulls.voters[0].0 as usize;
        pulls.world.crash(first);
        let others: Vec<usize> = (0..12).filter(|at| *at != first).collect();
        pulls.until_in_force(&others, Version(1));
    }
}

#[test]
fn one_ask_is_under_way_at_a_time_and_none_without_need() {
    let mut puller = Puller::new(1);
    let mut pull_state = PullState {
        voters: vec![NodeId(1)],
        asks_voters_first: true,
        ..PullState::default()
    };
    assert_eq!(puller.tick(&pull_state, Time::from_millis(1_000)), None);
    pull_state.newest_version = Version(1);
    let mut asked = Vec::new();
    for ms in (1_000..11_000).step_by(50) {
        let now = Time::from_millis(ms);
        asked.extend(puller.tick(&pull_state, now).map(|_| ms));
    }
    assert!(
        asked.windows(2).all(|pair| 500 <= pair[1] - pair[0]),
        "{asked:?}"
    );
    assert!(5 <= asked.len(), "{asked:?}");
    pull_state.own_version = Version(1);
    assert_eq!(puller.tick(&pull_state, Time::from_millis(20_000)), None);
}
