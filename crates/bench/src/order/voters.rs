//! Three voters in virtual time, one in each data centre.

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

/// One way between data centres, without the varying part.
const LINK: Duration = Duration::from_millis(3);

/// The varying part on average.
const JITTER: Duration = Duration::from_millis(1);

/// One way within a data centre.
const LOCAL: Duration = Duration::from_micros(150);

/// How a voter's disk takes batches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Commit {
    /// All batches that wait share a sync.
    Grouped,
    /// Each batch has a sync of its own.
    Single,
}

enum Happening {
    Message(usize, NodeId, Message),
    Synced(usize, BatchId),
    Tick(usize),
    Call(u64, usize),
    Propose(u64, usize),
    Told(u64),
}

struct Node {
    voter: Voter,
    state: State,
    queue: VecDeque<Batch>,
    writing: bool,
    due: Time,
}

/// The voters and what is under way between them.
pub struct Voters {
    pub now: Time,
    rng: fastrand::Rng,
    commit: Commit,
    syncs: Vec<Duration>,
    nodes: Vec<Node>,
    queue: BTreeMap<(Time, u64), Happening>,
    queued: u64,
    commands: Vec<Command>,
    called_at: Vec<Time>,
    proposed: BTreeMap<u64, (u64, usize)>,
    /// How long each call took until its node heard that it was committed.
    pub took: BTreeMap<u64, Duration>,
}

impl Voters {
    /// Opens the voters and waits for a leader.
    pub fn open(seed: u64, commit: Commit, syncs: Vec<Duration>) -> Self {
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
            writing: false,
            due: Time::NEVER,
        };
        let mut voters = Self {
            now,
            rng: fastrand::Rng::with_seed(seed),
            commit,
            syncs,
            nodes: ids.into_iter().map(open).collect(),
            queue: BTreeMap::new(),
            queued: 0,
            commands: Vec::new(),
            called_at: Vec::new(),
            proposed: BTreeMap::new(),
            took: BTreeMap::new(),
        };
        (0..ids.len()).for_each(|at| voters.carry_out(at));
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

    /// A node of a data centre proposes a command after a while.
    pub fn call(&mut self, wait: Duration, centre: usize, command: Command) -> u64 {
        let call = self.commands.len() as u64;
        self.commands.push(command);
        self.called_at.push(self.now + wait);
        self.after(wait, Happening::Call(call, centre));
        call
    }

    /// One way between two data centres, or within one.
    pub fn way(&mut self, from: usize, to: usize) -> Duration {
        if from == to {
            return LOCAL;
        }
        LINK + JITTER.mul_f64(-(1.0 - self.rng.f64()).ln())
    }

    /// Runs for a while.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if end < entry.key().0 {
                break;
            }
            let ((now, _), happening) = entry.remove_entry();
            self.now = now;
            self.happen(happening);
        }
        self.now = end;
    }

    fn after(&mut self, wait: Duration, happening: Happening) {
        self.queued += 1;
        self.queue.insert((self.now + wait, self.queued), happening);
    }

    fn happen(&mut self, happening: Happening) {
        let now = self.now;
        match happening {
            Happening::Message(at, from, message) => {
                self.nodes[at].voter.receive(from, message, now);
                self.carry_out(at);
            }
            Happening::Synced(at, batch) => {
                self.nodes[at].writing = false;
                self.nodes[at].voter.mark_synced(batch, now);
                self.carry_out(at);
            }
            Happening::Tick(at) => {
                if self.nodes[at].due <= now {
                    self.nodes[at].due = Time::NEVER;
                    self.nodes[at].voter.tick(now);
                    self.carry_out(at);
                }
            }
            Happening::Call(call, centre) => {
                let Some(leader) = self.leader() else {
                    return;
                };
                let wait = self.way(centre, leader);
                self.after(wait, Happening::Propose(call, centre));
            }
            Happening::Propose(call, centre) => self.propose(call, centre),
            Happening::Told(call) => {
                let took = now.since(self.called_at[call as usize]);
                self.took.insert(call, took);
            }
        }
    }

    fn propose(&mut self, call: u64, centre: usize) {
        let Some(leader) = self.leader() else {
            return;
        };
        let command = self.commands[call as usize].encode();
        if let Ok(proposal) = self.nodes[leader].voter.propose(command, self.now) {
            self.proposed.insert(proposal.index.0, (call, centre));
            self.carry_out(leader);
        }
    }

    fn carry_out(&mut self, at: usize) {
        let Effects {
            sends,
            committed,
            batch,
            ..
        } = self.nodes[at].voter.take_effects();
        for Outgoing { to, message } in sends {
            let to = to.0 as usize - 1;
            let wait = self.way(at, to);
            let from = NodeId(at as u32 + 1);
            self.after(wait, Happening::Message(to, from, message));
        }
        committed.iter().for_each(|entry| self.apply(at, entry));
        self.nodes[at].queue.extend(batch);
        self.write(at);
        self.schedule(at);
    }

    fn apply(&mut self, at: usize, entry: &Entry) {
        let Payload::Command(bytes) = &entry.payload else {
            return;
        };
        let command = Command::decode(bytes).expect("a command");
        self.nodes[at].state.apply(entry.index.0, &command);
        if self.leader() != Some(at) {
            return;
        }
        if let Some((call, centre)) = self.proposed.remove(&entry.index.0) {
            let wait = self.way(at, centre);
            self.after(wait, Happening::Told(call));
        }
    }

    /// Hands the disk what waits for it, unless it is busy.
    fn write(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.writing {
            return;
        }
        let batch = match self.commit {
            Commit::Grouped => node.queue.drain(..).next_back(),
            Commit::Single => node.queue.pop_front(),
        };
        let Some(batch) = batch else {
            return;
        };
        node.writing = true;
        let wait = self.syncs[self.rng.usize(0..self.syncs.len())];
        self.after(wait, Happening::Synced(at, batch.id));
    }

    fn schedule(&mut self, at: usize) {
        let due = self.nodes[at].voter.next_deadline();
        if due < self.nodes[at].due {
            self.nodes[at].due = due;
            let wait = due.since(self.now);
            self.after(wait, Happening::Tick(at));
        }
    }
}
