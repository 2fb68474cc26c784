//! A simulation of three voters in virtual time, one in each data centre.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use base::DiskId;
use base::NodeId;
use base::Time;
use state::Command;
use state::State;
use vote::Batch;
use vote::BatchId;
use vote::Config;
use vote::Effects;
use vote::Entry;
use vote::Message;
use vote::Outgoing;
use vote::Payload;
use vote::Restored;
use vote::Role;
use vote::Voter;

/// The fixed part of the one-way delay between data centres.
const LINK_DELAY: Duration = Duration::from_millis(3);

/// The mean of the exponentially distributed part of that delay.
const MEAN_JITTER: Duration = Duration::from_millis(1);

/// The one-way delay within a data centre.
const LOCAL_DELAY: Duration = Duration::from_micros(150);

/// How a voter syncs batches to its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncMode {
    /// All batches that wait share one sync.
    Grouped,
    /// Each batch has its own sync.
    Single,
}

/// A simulated event. A `usize` is the index of a voter and its data centre, a `u64` that of a
/// call.
enum Event {
    Message(usize, NodeId, Message),
    Synced(usize, BatchId),
    Tick(usize),
    Call(u64, usize),
    Propose(u64, usize),
    Answered(u64),
}

/// A voter, its state and its disk queue.
struct Node {
    voter: Voter,
    state: State,
    queue: VecDeque<Batch>,
    is_syncing: bool,
    next_tick: Time,
}

/// The simulated voters and the events between them.
pub struct Voters {
    pub now: Time,
    rng: fastrand::Rng,
    sync_mode: SyncMode,
    sync_times: Vec<Duration>,
    nodes: Vec<Node>,
    events: BTreeMap<(Time, u64), Event>,
    event_count: u64,
    commands: Vec<Command>,
    called_at: Vec<Time>,
    /// By log index: the call whose command is there, and the data centre it came from.
    calls_by_index: BTreeMap<u64, (u64, usize)>,
    /// For each call, the time until the calling node learned that it was committed.
    pub latencies: BTreeMap<u64, Duration>,
}

impl Voters {
    /// Creates the voters and runs until there is a leader.
    pub fn open(seed: u64, sync_mode: SyncMode, sync_times: Vec<Duration>) -> Self {
        let ids = [1, 2, 3].map(NodeId);
        let now = Time::from_millis(1_000);
        let open = |id: NodeId| Node {
            voter: Voter::open(
                Config::new(id, DiskId(u64::from(id.0)), ids),
                Restored::default(),
                now,
            ),
            state: State::default(),
            queue: VecDeque::new(),
            is_syncing: false,
            next_tick: Time::NEVER,
        };
        let mut voters = Self {
            now,
            rng: fastrand::Rng::with_seed(seed),
            sync_mode,
            sync_times,
            nodes: ids.into_iter().map(open).collect(),
            events: BTreeMap::new(),
            event_count: 0,
            commands: Vec::new(),
            called_at: Vec::new(),
            calls_by_index: BTreeMap::new(),
            latencies: BTreeMap::new(),
        };
        (0..ids.len()).for_each(|index| voters.apply_effects(index));
        while voters.leader().is_none() {
            voters.run(Duration::from_millis(100));
        }
        voters.run(Duration::from_secs(1));
        voters
    }

    /// The data centre of the leader.
    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &Node| node.voter.role() == Role::Leader;
        self.nodes.iter().position(leads)
    }

    /// Schedules a call: after `wait`, a node of a data centre sends a command to the leader.
    /// Returns the index of the call.
    pub fn call(&mut self, wait: Duration, centre: usize, command: Command) -> u64 {
        let call = self.commands.len() as u64;
        self.commands.push(command);
        self.called_at.push(self.now + wait);
        self.schedule(wait, Event::Call(call, centre));
        call
    }

    /// Draws a one-way delay between two data centres, or within one.
    pub fn link_delay(&mut self, from: usize, to: usize) -> Duration {
        if from == to {
            return LOCAL_DELAY;
        }
        LINK_DELAY + MEAN_JITTER.mul_f64(-(1.0 - self.rng.f64()).ln())
    }

    /// Runs the simulation for a span of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            if end < entry.key().0 {
                break;
            }
            let ((now, _), event) = entry.remove_entry();
            self.now = now;
            self.handle_event(event);
        }
        self.now = end;
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + wait, self.event_count), event);
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Message(index, from, message) => {
                self.nodes[index].voter.receive(from, message, now);
                self.apply_effects(index);
            }
            Event::Synced(index, batch) => {
                self.nodes[index].is_syncing = false;
                self.nodes[index].voter.mark_synced(batch, now);
                self.apply_effects(index);
            }
            Event::Tick(index) => {
                if self.nodes[index].next_tick <= now {
                    self.nodes[index].next_tick = Time::NEVER;
                    self.nodes[index].voter.tick(now);
                    self.apply_effects(index);
                }
            }
            Event::Call(call, centre) => {
                let Some(leader) = self.leader() else {
                    return;
                };
                let wait = self.link_delay(centre, leader);
                self.schedule(wait, Event::Propose(call, centre));
            }
            Event::Propose(call, centre) => self.propose(call, centre),
            Event::Answered(call) => {
                let latency = now.since(self.called_at[call as usize]);
                self.latencies.insert(call, latency);
            }
        }
    }

    fn propose(&mut self, call: u64, centre: usize) {
        let Some(leader) = self.leader() else {
            return;
        };
        let command = self.commands[call as usize].encode();
        if let Ok(proposal) = self.nodes[leader].voter.propose(command, self.now) {
            self.calls_by_index.insert(proposal.index.0, (call, centre));
            self.apply_effects(leader);
        }
    }

    fn apply_effects(&mut self, index: usize) {
        let Effects {
            sends,
            committed,
            batch,
            ..
        } = self.nodes[index].voter.take_effects();
        for Outgoing { to, message } in sends {
            let to = to.0 as usize - 1;
            let wait = self.link_delay(index, to);
            let from = NodeId(index as u32 + 1);
            self.schedule(wait, Event::Message(to, from, message));
        }
        committed.iter().for_each(|entry| self.apply(index, entry));
        self.nodes[index].queue.extend(batch);
        self.start_sync(index);
        self.schedule_tick(index);
    }

    fn apply(&mut self, index: usize, entry: &Entry) {
        let Payload::Command(bytes) = &entry.payload else {
            return;
        };
        let command = Command::decode(bytes).expect("a command");
        self.nodes[index].state.apply(entry.index.0, &command);
        if self.leader() != Some(index) {
            return;
        }
        if let Some((call, centre)) = self.calls_by_index.remove(&entry.index.0) {
            let wait = self.link_delay(index, centre);
            self.schedule(wait, Event::Answered(call));
        }
    }

    /// Starts a sync of waiting batches, unless one is running.
    fn start_sync(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.is_syncing {
            return;
        }
        let batch = match self.sync_mode {
            SyncMode::Grouped => node.queue.drain(..).next_back(),
            SyncMode::Single => node.queue.pop_front(),
        };
        let Some(batch) = batch else {
            return;
        };
        node.is_syncing = true;
        let wait = self.sync_times[self.rng.usize(0..self.sync_times.len())];
        self.schedule(wait, Event::Synced(index, batch.id));
    }

    fn schedule_tick(&mut self, index: usize) {
        let next_tick = self.nodes[index].voter.next_deadline();
        if next_tick < self.nodes[index].next_tick {
            self.nodes[index].next_tick = next_tick;
            let wait = next_tick.since(self.now);
            self.schedule(wait, Event::Tick(index));
        }
    }
}
