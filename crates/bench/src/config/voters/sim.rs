//! A simulation of voters in virtual time. A message takes 3 ms one way, give or take a tenth, and
//! a sync takes a fixed time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use fastrand::Rng;

use base::DiskId;
use base::NodeId;
use base::Time;
use vote::BatchId;
use vote::Config;
use vote::Entry;
use vote::Index;
use vote::Message;
use vote::Restored;
use vote::Role;
use vote::Voter;

/// How messages are passed between voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// As values, without encoding.
    Plain,
    /// Encoded and decoded as JSON. The bytes are counted.
    Json,
}

/// One voter with the state that its node keeps around it.
#[derive(Debug)]
pub struct Node {
    pub voter: Voter,
    pub applied: Index,
    pub sent_bytes: u64,
    /// Batches that are being written, with the times when each is synced.
    pending_syncs: VecDeque<(Time, BatchId)>,
}

/// The simulated voters and the messages between them.
#[derive(Debug)]
pub struct Sim {
    pub now: Time,
    pub nodes: BTreeMap<NodeId, Node>,
    /// Voters that neither send nor receive messages.
    pub isolated: BTreeSet<NodeId>,
    /// The mean delay of a message one way.
    pub link_delay: Duration,
    /// How long a disk takes to write and sync a batch.
    pub sync_time: Duration,
    rng: Rng,
    encoding: Encoding,
    packets: BTreeMap<(Time, u64), Packet>,
    packet_count: u64,
}

#[derive(Debug)]
struct Packet {
    from: NodeId,
    to: NodeId,
    content: Content,
}

#[derive(Debug)]
enum Content {
    Plain(Message),
    Json(Vec<u8>),
}

impl Sim {
    pub fn open(size: u32, encoding: Encoding, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let now = Time::from_millis(1_000);
        let node = |id: u32| {
            let disk = DiskId(rng.u64(1..));
            let cfg = Config::new(NodeId(id), disk, (1..=size).map(NodeId));
            let node = Node {
                voter: Voter::open(cfg, Restored::default(), now),
                applied: Index::default(),
                sent_bytes: 0,
                pending_syncs: VecDeque::new(),
            };
            (NodeId(id), node)
        };
        let nodes = (1..=size).map(node).collect();
        let mut sim = Self {
            now,
            nodes,
            isolated: BTreeSet::new(),
            link_delay: Duration::from_millis(3),
            sync_time: Duration::from_millis(2),
            rng,
            encoding,
            packets: BTreeMap::new(),
            packet_count: 0,
        };
        for id in sim.ids() {
            sim.apply_effects(id);
        }
        sim
    }

    pub fn ids(&self) -> Vec<NodeId> {
        self.nodes.keys().copied().collect()
    }

    pub fn leader(&self) -> Option<NodeId> {
        let mut nodes = self.nodes.iter();
        let leads = |(id, node): &(&NodeId, &Node)| {
            node.voter.role() == Role::Leader && !self.isolated.contains(id)
        };
        nodes.find(leads).map(|(id, _)| *id)
    }

    /// Runs until a leader has a lease, and so has committed its first entry. Returns the leader.
    pub fn wait_for_leader(&mut self) -> NodeId {
        self.run_until(|sim| {
            let leader = sim.leader().map(|id| &sim.nodes[&id]);
            leader.is_some_and(|node| node.voter.lease(sim.now).is_some())
        });
        self.leader().unwrap_or_default()
    }

    /// Proposes a command. Returns `None` if the node does not accept it.
    pub fn propose(&mut self, id: NodeId, command: &[u8]) -> Option<Index> {
        let now = self.now;
        let node = self.nodes.get_mut(&id)?;
        let proposal = node.voter.propose(command, now).ok()?;
        self.apply_effects(id);
        Some(proposal.index)
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.next_event_time() <= end {
            self.step();
        }
        self.now = end;
    }

    pub fn run_until(&mut self, is_done: impl Fn(&Self) -> bool) {
        while !is_done(self) {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now = self.now.max(self.next_event_time());
        let now = self.now;
        while let Some(first) = self.packets.first_entry()
            && first.key().0 <= now
        {
            let packet = first.remove();
            self.deliver(packet);
        }
        for id in self.ids() {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            let mut has_progress = node.voter.next_deadline() <= now;
            if has_progress {
                node.voter.tick(now);
            }
            while let Some((at, batch)) = node.pending_syncs.front().copied()
                && at <= now
            {
                node.pending_syncs.pop_front();
                node.voter.mark_synced(batch, now);
                has_progress = true;
            }
            if has_progress {
                self.apply_effects(id);
            }
        }
    }

    fn next_event_time(&self) -> Time {
        let ticks = self.nodes.values().map(|node| node.voter.next_deadline());
        let writes = self
            .nodes
            .values()
            .filter_map(|node| node.pending_syncs.front());
        let packet = self.packets.first_key_value().map(|((at, _), _)| *at);
        let all = ticks.chain(writes.map(|(at, _)| *at)).chain(packet);
        all.min().unwrap_or(Time::NEVER)
    }

    fn deliver(&mut self, packet: Packet) {
        let now = self.now;
        let Packet { from, to, content } = packet;
        let message = match content {
            Content::Plain(message) => Some(message),
            Content::Json(bytes) => serde_json::from_slice(&bytes).ok(),
        };
        if self.isolated.contains(&from) || self.isolated.contains(&to) {
            return;
        }
        if let (Some(node), Some(message)) = (self.nodes.get_mut(&to), message) {
            node.voter.receive(from, message, now);
            self.apply_effects(to);
        }
    }

    fn apply_effects(&mut self, id: NodeId) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let effects = node.voter.take_effects();
        if let Some(snapshot) = &effects.install {
            node.applied = snapshot.last_included.index;
        }
        let last = effects.committed.last().map(|entry: &Entry| entry.index);
        node.applied = last.unwrap_or(node.applied);
        if let Some(batch) = effects.batch {
            let previous_sync = node.pending_syncs.back().map_or(now, |(at, _)| *at);
            node.pending_syncs
                .push_back((previous_sync.max(now) + self.sync_time, batch.id));
        }
        for outgoing in effects.sends {
            let content = match self.encoding {
                Encoding::Plain => Content::Plain(outgoing.message),
                Encoding::Json => {
                    let bytes = serde_json::to_vec(&outgoing.message).unwrap_or_default();
                    node.sent_bytes += bytes.len() as u64;
                    Content::Json(bytes)
                }
            };
            let at = now + self.link_delay.mul_f64(0.9 + 0.2 * self.rng.f64());
            self.packet_count += 1;
            let packet = Packet {
                from: id,
                to: outgoing.to,
                content,
            };
            self.packets.insert((at, self.packet_count), packet);
        }
    }
}
