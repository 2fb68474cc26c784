//! A version that the voters accepted is in force everywhere within 6 s, never
//! goes back, and no voter is asked by all nodes at once.

mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::world::RELIABLE;
use crate::world::STEP;
use crate::world::World;
use crate::world::seeds;
use base::NodeId;
use base::Time;
use base::Version;
use members::PullSource;
use members::PullState;
use members::Puller;

/// Longest time from acceptance until in force at every reachable node.
const MAX_ROLLOUT_TIME: Duration = Duration::from_secs(6);

/// An ask on its way (without an answer), or the answer to one.
struct PullMessage {
    due: u64,
    asker: usize,
    answerer: usize,
    answer: Option<Version>,
}

/// Simulated nodes that pull configurations from each other.
struct PullingNodes {
    world: World,
    pullers: Vec<Puller>,
    voters: Vec<NodeId>,
    in_force: Vec<Version>,
    messages: Vec<PullMessage>,
    message_loss: f64,
    /// The number of asks by second and voter.
    asks_per_second: BTreeMap<(u64, usize), u32>,
}

impl PullingNodes {
    fn new(centres: u32, per_centre: u32, seed: u64) -> Self {
        println!("seed {seed}");
        let mut world = World::new(centres, per_centre, seed, RELIABLE);
        let elapsed = world.run_until(Duration::from_secs(25), World::has_converged);
        elapsed.expect("views did not converge after the start");
        let count = world.nodes.len();
        let voters = (0..3).map(|centre| NodeId(centre.min(centres - 1) * per_centre + centre));
        Self {
            pullers: (0..count)
                .map(|index| Puller::new(seed + index as u64))
                .collect(),
            voters: voters.collect(),
            in_force: vec![Version(0); count],
            messages: Vec::new(),
            message_loss: 0.0,
            asks_per_second: BTreeMap::new(),
            world,
        }
    }

    /// Puts a version in force at all voters.
    fn accept_at_voters(&mut self, version: Version) {
        for voter in self.voters.clone() {
            self.set_in_force(voter.0 as usize, version);
        }
    }

    fn set_in_force(&mut self, index: usize, version: Version) {
        if self.in_force[index] < version {
            self.in_force[index] = version;
            let now = self.world.time();
            self.world.nodes[index].members.set_version(version, now);
        }
    }

    fn step(&mut self) {
        self.world.step();
        self.deliver();
        for index in 0..self.pullers.len() {
            if self.world.is_running(index) && !self.voters.contains(&NodeId(index as u32)) {
                self.pull(index);
            }
        }
    }

    fn pull(&mut self, index: usize) {
        let now = self.world.time();
        let pull_state = self.world.nodes[index]
            .members
            .pull_state(&self.voters, now);
        assert_eq!(pull_state.own_version, self.in_force[index]);
        let Some(source) = self.pullers[index].tick(&pull_state, now) else {
            return;
        };
        let (PullSource::LocalMember(to) | PullSource::Voter(to)) = source;
        let answerer = to.0 as usize;
        if let PullSource::Voter(_) = source {
            *self
                .asks_per_second
                .entry((now.0 / 1_000_000, answerer))
                .or_default() += 1;
        }
        self.send(index, answerer, None);
    }

    fn send(&mut self, asker: usize, answerer: usize, answer: Option<Version>) {
        let [a, b] = [asker, answerer].map(|index| NodeId(index as u32));
        let is_cut = self.world.cuts.contains(&(a, b)) || self.world.cuts.contains(&(b, a));
        if is_cut || self.world.rng.f64() < self.message_loss {
            return;
        }
        let due = self.world.now + self.world.rng.u64(2_000..60_000);
        self.messages.push(PullMessage {
            due,
            asker,
            answerer,
            answer,
        });
    }

    fn deliver(&mut self) {
        let now = self.world.now;
        let messages = std::mem::take(&mut self.messages);
        let (due, later): (Vec<PullMessage>, Vec<PullMessage>) =
            messages.into_iter().partition(|m| m.due <= now);
        self.messages = later;
        for message in due {
            match message.answer {
                None if self.world.is_running(message.answerer) => {
                    self.send(
                        message.asker,
                        message.answerer,
                        Some(self.in_force[message.answerer]),
                    );
                }
                Some(version) if self.world.is_running(message.asker) => {
                    self.set_in_force(message.asker, version);
                    self.pullers[message.asker].finish_ask(Time(now));
                }
                _ => {}
            }
        }
    }

    /// Runs until a version is in force at these nodes. Returns the time it took.
    fn run_until_in_force(&mut self, nodes: &[usize], version: Version) -> Duration {
        let start = self.world.now;
        while nodes.iter().any(|index| self.in_force[*index] < version) {
            self.step();
            let waited = Duration::from_micros(self.world.now - start);
            assert!(
                waited < MAX_ROLLOUT_TIME,
                "the version was not in force everywhere in time"
            );
        }
        Duration::from_micros(self.world.now - start)
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
    let mut most_asks = 0;
    for seed in seeds(9) {
        let (centres, per_centre) = [(3, 3), (6, 17), (1, 5)][seed as usize % 3];
        let mut nodes = PullingNodes::new(centres, per_centre, seed);
        nodes.message_loss = 0.1;
        nodes.world.conditions.loss = 0.1;
        let all: Vec<usize> = (0..nodes.in_force.len()).collect();
        for version in 1..=8 {
            nodes.accept_at_voters(Version(version));
            longest = longest.max(nodes.run_until_in_force(&all, Version(version)));
            let pause = Duration::from_millis(nodes.world.rng.u64(0..3_000));
            nodes.run_for(pause);
        }
        most_asks = most_asks.max(nodes.asks_per_second.values().copied().max().unwrap_or(0));
    }
    println!("longest {longest:?}, {most_asks} asks of one voter in a second");
    assert!(most_asks <= 10, "{most_asks} asks of one voter in a second");
}

#[test]
fn a_burst_of_100_changes_is_fetched_by_few_asks() {
    let mut nodes = PullingNodes::new(3, 3, 5);
    let all: Vec<usize> = (0..9).collect();
    for version in 1..=100 {
        nodes.accept_at_voters(Version(version));
        if version % 5 == 0 {
            nodes.step();
        }
    }
    nodes.run_until_in_force(&all, Version(100));
    let asks: u32 = nodes.asks_per_second.values().sum();
    assert!(asks <= 30, "{asks} asks");
}

#[test]
fn a_cut_off_data_centre_keeps_its_version_and_catches_up() {
    for seed in seeds(6) {
        let mut nodes = PullingNodes::new(4, 4, seed);
        let all: Vec<usize> = (0..16).collect();
        let connected: Vec<usize> = (0..12).collect();
        nodes.accept_at_voters(Version(1));
        nodes.run_until_in_force(&all, Version(1));
        nodes.world.partition(&[12, 13, 14, 15]);
        for version in 2..=20 {
            nodes.accept_at_voters(Version(version));
            nodes.run_until_in_force(&connected, Version(version));
        }
        assert!((12..16).all(|index| nodes.in_force[index] == Version(1)));
        nodes.run_for(Duration::from_secs(30));
        nodes.world.cuts.clear();
        nodes.run_until_in_force(&all, Version(20));
    }
}

#[test]
fn dead_voters_do_not_stop_the_others() {
    for seed in seeds(6) {
        let mut nodes = PullingNodes::new(3, 4, seed);
        nodes.accept_at_voters(Version(1));
        let dead_voter = nodes.voters[0].0 as usize;
        nodes.world.crash(dead_voter);
        let others: Vec<usize> = (0..12).filter(|index| *index != dead_voter).collect();
        nodes.run_until_in_force(&others, Version(1));
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
