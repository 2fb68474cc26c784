//! Voters in virtual time, with links and disks that take a fixed time.

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

/// How messages travel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wire {
    /// As they are.
    Plain,
    /// Written and read as JSON, and counted.
    Json,
}

/// One voter and what its daemon would hold.
#[derive(Debug)]
pub struct Node {
    pub voter: Voter,
    pub applied: Index,
    pub sent_bytes: u64,
    writing: VecDeque<(Time, BatchId)>,
}

/// All voters and everything between them.
#[derive(Debug)]
pub struct Sim {
    pub now: Time,
    pub nodes: BTreeMap<NodeId, Node>,
    pub cut: BTreeSet<NodeId>,
    pub link: Duration,
    pub sync: Duration,
    rng: Rng,
    wire: Wire,
    packets: BTreeMap<(Time, u64), Packet>,
    sent: u64,
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
    pub fn open(size: u32, wire: Wire, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let now = Time::from_millis(1_000);
        let node = |id: u32| {
            let disk = DiskId(rng.u64(1..));
            let cfg = Config::new(NodeId(id), disk, (1..=size).map(NodeId));
            let node = Node {
                voter: Voter::open(cfg, Restored::default(), now),
                applied: Index::default(),
                sent_bytes: 0,
                writing: VecDeque::new(),
            };
            (NodeId(id), node)
        };
        let nodes = (1..=size).map(node).collect();
        let mut sim = Self {
            now,
            nodes,
            cut: BTreeSet::new(),
            link: Duration::from_millis(3),
            sync: Duration::from_millis(2),
            rng,
            wire,
            packets: BTreeMap::new(),
            sent: 0,
        };
        for id in sim.ids() {
            sim.carry_out(id);
        }
        sim
    }

    pub fn ids(&self) -> Vec<NodeId> {
        self.nodes.keys().copied().collect()
    }

    pub fn leader(&self) -> Option<NodeId> {
        let mut nodes = self.nodes.iter();
        let leads = |(id, node): &(&NodeId, &Node)| {
            node.voter.role() == Role::Leader && !self.cut.contains(id)
        };
        nodes.find(leads).map(|(id, _)| *id)
    }

    /// Runs until there is a leader that has committed its first entry.
    pub fn settle(&mut self) -> NodeId {
        self.run_until(|sim| {
            let leader = sim.leader().map(|id| &sim.nodes[&id]);
            leader.is_some_and(|node| node.voter.lease(sim.now).is_some())
        });
        self.leader().unwrap_or_default()
    }

    /// Proposes a command. None if the node does not take it.
    pub fn propose(&mut self, id: NodeId, command: &[u8]) -> Option<Index> {
        let now = self.now;
        let node = self.nodes.get_mut(&id)?;
        let proposal = node.voter.propose(command, now).ok()?;
        self.carry_out(id);
        Some(proposal.index)
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.next() <= end {
            self.step();
        }
        self.now = end;
    }

    pub fn run_until(&mut self, holds: impl Fn(&Self) -> bool) {
        while !holds(self) {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now = self.now.max(self.next());
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
            let mut did = node.voter.next_deadline() <= now;
            if did {
                node.voter.tick(now);
            }
            while let Some((at, batch)) = node.writing.front().copied()
                && at <= now
            {
                node.writing.pop_front();
                node.voter.mark_synced(batch, now);
                did = true;
            }
            if did {
                self.carry_out(id);
            }
        }
    }

    fn next(&self) -> Time {
        let ticks = self.nodes.values().map(|node| node.voter.next_deadline());
        let writes = self.nodes.values().filter_map(|node| node.writing.front());
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
        if self.cut.contains(&from) || self.cut.contains(&to) {
            return;
        }
        if let (Some(node), Some(message)) = (self.nodes.get_mut(&to), message) {
            node.voter.receive(from, message, now);
            self.carry_out(to);
        }
    }

    fn carry_out(&mut self, id: NodeId) {
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
            let before = node.writing.back().map_or(now, |(at, _)| *at);
            node.writing
                .push_back((before.max(now) + self.sync, batch.id));
        }
        for outgoing in effects.sends {
            let content = match self.wire {
                Wire::Plain => Content::Plain(outgoing.message),
                Wire::Json => {
                    let bytes = serde_json::to_vec(&outgoing.message).unwrap_or_default();
                    node.sent_bytes += bytes.len() as u64;
                    Content::Json(bytes)
                }
            };
            let at = now + self.link.mul_f64(0.9 + 0.2 * self.rng.f64());
            self.sent += 1;
            let packet = Packet {
                from: id,
                to: outgoing.to,
                content,
            };
            self.packets.insert((at, self.sent), packet);
        }
    }
}
