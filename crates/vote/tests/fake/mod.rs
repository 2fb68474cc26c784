//! Voters on a simulated network with simulated clocks and disks. After every step they are
//! checked against a plain list of accepted commands.

#![allow(dead_code)]

mod model;
mod network;
mod node;
pub mod seeds;

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use base::DiskId;
use base::NodeId;
use base::Time;
use vote::Change;
use vote::Effects;
use vote::Entry;
use vote::Member;
use vote::Payload;
use vote::ReadOutcome;
use vote::Role;
use vote::Standing;
use vote::Term;

pub use self::model::Model;
pub use self::network::Network;
pub use self::node::Clock;
pub use self::node::Node;
pub use self::node::Stored;

/// All voters, the network between them and the model they are checked against.
pub struct Cluster {
    pub now: Time,
    pub rng: Rng,
    pub nodes: BTreeMap<NodeId, Node>,
    pub network: Network,
    pub model: Model,
    pub sync_time: Duration,
    next_command: u64,
}

impl Cluster {
    pub fn new(size: u32, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let ids: Vec<_> = (1..=size).map(NodeId).collect();
        let nodes = ids.iter().map(|id| {
            let disk = DiskId(rng.u64(1..));
            (*id, Node::new(*id, disk, &ids, rng.fork()))
        });
        let nodes = nodes.collect();
        let mut cluster = Self {
            now: Time::from_millis(1_000),
            network: Network::new(rng.fork()),
            nodes,
            model: Model::default(),
            sync_time: Duration::from_millis(2),
            next_command: 1,
            rng,
        };
        for id in ids {
            cluster.start(id);
        }
        cluster
    }

    /// Starts a node with an empty disk and these configured voters.
    pub fn add(&mut self, id: NodeId, configured_voters: &[NodeId]) {
        let disk = DiskId(self.rng.u64(1..));
        let node = Node::new(id, disk, configured_voters, self.rng.fork());
        self.nodes.insert(id, node);
        self.start(id);
    }

    pub fn ids(&self) -> Vec<NodeId> {
        self.nodes.keys().copied().collect()
    }

    pub fn node(&mut self, id: NodeId) -> &mut Node {
        self.nodes.get_mut(&id).unwrap()
    }

    pub fn start(&mut self, id: NodeId) {
        let now = self.now;
        self.node(id).start(now);
        self.run_effects(id);
    }

    pub fn crash(&mut self, id: NodeId) {
        self.node(id).crash();
        self.model.forget_node(id);
    }

    pub fn freeze(&mut self, id: NodeId, clock: Clock) {
        let now = self.now;
        self.node(id).freeze(clock, now);
    }

    pub fn unfreeze(&mut self, id: NodeId) {
        let now = self.now;
        self.node(id).unfreeze(now);
        self.run_effects(id);
    }

    /// Ends the process and replaces the identity and content of its disk.
    pub fn replace_disk(&mut self, id: NodeId, disk: DiskId, stored: Stored) {
        self.crash(id);
        let node = self.node(id);
        node.disk = disk;
        node.stored = stored;
    }

    /// The node that leads in the latest term, by what the nodes know.
    pub fn leader(&self) -> Option<NodeId> {
        let leads = |node: &&Node| node.is_awake() && node.role() == Some(Role::Leader);
        let leaders = self.nodes.values().filter(leads);
        let latest = leaders.max_by_key(|node| node.voter.as_ref().map(|v| v.status().term));
        latest.map(|node| node.id)
    }

    /// Proposes a new command at a node. Returns the command if the node took it.
    pub fn propose(&mut self, id: NodeId) -> Option<u64> {
        let command = self.next_command;
        let now = self.now;
        let node = self.node(id);
        let local_now = node.local_time(now);
        let voter = node.voter.as_mut().filter(|_| node.frozen.is_none())?;
        let proposal = voter
            .propose(command.to_le_bytes().to_vec(), local_now)
            .ok()?;
        self.next_command += 1;
        self.model.proposed(id, proposal, command);
        self.run_effects(id);
        Some(command)
    }

    pub fn read(&mut self, id: NodeId) {
        let now = self.now;
        let node = self.node(id);
        let local_now = node.local_time(now);
        let Some(voter) = node.voter.as_mut().filter(|_| node.frozen.is_none()) else {
            return;
        };
        if let Ok(read) = voter.start_read(local_now) {
            self.model.read_started(id, read);
            self.run_effects(id);
        }
    }

    /// Proposes a change of the members at the leader. Returns whether it was taken.
    pub fn change(&mut self, change: Change) -> bool {
        let now = self.now;
        let Some(id) = self.leader() else {
            return false;
        };
        let node = self.node(id);
        let local_now = node.local_time(now);
        let voter = node.voter.as_mut().unwrap();
        let taken = voter.change_members(change, local_now).is_ok();
        self.run_effects(id);
        taken
    }

    pub fn hand_over(&mut self, id: NodeId) {
        let now = self.now;
        let node = self.node(id);
        let local_now = node.local_time(now);
        if let Some(voter) = node.voter.as_mut().filter(|_| node.frozen.is_none()) {
            voter.hand_over_leadership(local_now);
            self.run_effects(id);
        }
    }

    /// Runs for a span of time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.step(end) {}
    }

    /// Runs until a condition holds, and panics if it doesn't within the time.
    pub fn run_until(&mut self, span: Duration, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = self.now + span;
        while !holds(self) {
            assert!(self.step(end), "{what}: not within {span:?}");
        }
    }

    /// Proposes a command and runs until it is committed. Panics if that takes too long.
    pub fn commit_one(&mut self, span: Duration) {
        let end = self.now + span;
        let mut command = None;
        loop {
            if command.is_some_and(|command| self.model.is_accepted(command)) {
                return;
            }
            if let Some(leader) = self.leader()
                && command.is_none()
            {
                command = self.propose(leader);
            }
            let is_superseded = command.is_some_and(|c| self.model.is_superseded(c));
            command = command.filter(|_| !is_superseded);
            assert!(self.step(end), "no command was accepted within {span:?}");
        }
    }

    /// Runs the next event that is due before `end`. Returns false if there is none.
    pub fn step(&mut self, end: Time) -> bool {
        let due = self.nodes.values().map(|node| node.due(self.now));
        let at = due.chain([self.network.due()]).min().unwrap();
        if end < at {
            self.now = end;
            return false;
        }
        self.now = self.now.max(at);
        let now = self.now;
        if let Some((from, to, message)) = self.network.deliver(now) {
            let node = self.node(to);
            if node.frozen.is_some() {
                node.inbox.push_back((from, message));
            } else if node.voter.is_some() {
                node.receive(from, message, now);
                self.run_effects(to);
            }
        }
        for id in self.ids() {
            if self.node(id).run_due_work(now) {
                self.run_effects(id);
            }
        }
        self.check_leases();
        true
    }

    fn run_effects(&mut self, id: NodeId) {
        let now = self.now;
        let sync_time = self.sync_time.mul_f64(0.5 + self.rng.f64());
        let node = self.nodes.get_mut(&id).unwrap();
        let Some(voter) = node.voter.as_mut() else {
            return;
        };
        let Effects {
            sends,
            install,
            committed,
            reads,
            batch,
        } = voter.take_effects();
        for outgoing in sends {
            self.network.send(id, outgoing, now);
        }
        if let Some(snapshot) = install {
            node.app = decode(&snapshot.state);
            node.applied = snapshot.last_included.index;
            self.model.check_installed(id, node.applied, &node.app);
        }
        for entry in &committed {
            assert_eq!(entry.index, node.applied.next(), "{id} skipped an entry");
            node.applied = entry.index;
            node.app.extend(command(entry));
            self.model.committed(id, entry);
        }
        for read in reads {
            let current = match read.outcome {
                ReadOutcome::Current(index) => Some(index),
                ReadOutcome::NotLeader => None,
            };
            self.model.read_finished(id, read.id, current, node.applied);
        }
        if let Some(batch) = batch {
            node.write(batch, now, sync_time);
        }
        if 0 < node.compact_every && node.compact_every <= node.app.len() - node.compacted {
            node.compacted = node.app.len();
            let state = encode(&node.app);
            compact_voter(node, state);
            self.run_effects(id);
        }
    }

    /// At most one voter may hold a lease, and its state must contain everything that
    /// was committed.
    fn check_leases(&self) {
        let holds = |node: &&Node| !node.clock_was_stopped && node.lease(self.now).is_some();
        let holders: Vec<_> = self.nodes.values().filter(holds).collect();
        assert!(
            holders.len() <= 1,
            "two voters hold a lease at {}",
            self.now
        );
        for holder in holders {
            let lease = holder.lease(self.now).unwrap();
            let last = self.model.last_index();
            assert!(
                last <= lease.index,
                "{} holds a lease with an outdated state",
                holder.id
            );
        }
    }

    /// Ends all faults, and starts the nodes that are down.
    pub fn heal(&mut self) {
        self.network.heal();
        for id in self.ids() {
            if self.node(id).frozen.is_some() {
                self.unfreeze(id);
            }
            if self.node(id).voter.is_none() {
                self.start(id);
            }
        }
    }

    pub fn standing(&self, id: NodeId) -> Option<Standing> {
        self.nodes[&id].voter.as_ref().map(vote::Voter::standing)
    }

    /// A node's membership in the group as the leader knows it.
    pub fn member(&self, id: NodeId) -> Option<Member> {
        let leader = self.leader()?;
        let group = self.nodes[&leader].voter.as_ref()?.group()?;
        group.members.get(&id).copied()
    }

    pub fn term(&self, id: NodeId) -> Term {
        self.nodes[&id].voter.as_ref().unwrap().status().term
    }

    /// Whether all voters have applied everything that was committed.
    pub fn all_caught_up(&self) -> bool {
        let last = self.model.last_index();
        let counts = |node: &&Node| node.standing() == Some(Standing::Voter);
        let mut voters = self.nodes.values().filter(counts);
        voters.all(|node| node.applied == last)
    }
}

fn compact_voter(node: &mut Node, state: Vec<u8>) {
    let applied = node.applied;
    if let Some(voter) = node.voter.as_mut() {
        voter.compact(applied, state);
    }
}

fn command(entry: &Entry) -> Option<u64> {
    match &entry.payload {
        Payload::Command(bytes) => bytes[..].try_into().ok().map(u64::from_le_bytes),
        Payload::Noop | Payload::Group(_) => None,
    }
}

fn encode(app: &[u64]) -> Vec<u8> {
    app.iter().flat_map(|c| c.to_le_bytes()).collect()
}

fn decode(bytes: &[u8]) -> Vec<u64> {
    let commands = bytes.chunks_exact(8);
    commands
        .map(|c| u64::from_le_bytes(c.try_into().unwrap()))
        .collect()
}
