//! A simulated network that loses, delays, reorders and repeats messages.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;

use base::NodeId;
use base::Time;
use vote::Message;
use vote::Outgoing;

/// Messages under way, and the faults of the network.
pub struct Network {
    rng: Rng,
    packets: BTreeMap<(Time, u64), (NodeId, NodeId, Message)>,
    packet_count: u64,
    /// The share of messages that are lost.
    pub loss: f64,
    /// The share of messages that are delivered twice.
    pub repeat: f64,
    pub delay: Duration,
    /// Directed links whose messages are lost.
    pub cut_links: BTreeSet<(NodeId, NodeId)>,
    pub bytes: usize,
    pub messages: usize,
}

impl Network {
    pub fn new(rng: Rng) -> Self {
        Self {
            rng,
            packets: BTreeMap::new(),
            packet_count: 0,
            loss: 0.0,
            repeat: 0.0,
            delay: Duration::from_millis(3),
            cut_links: BTreeSet::new(),
            bytes: 0,
            messages: 0,
        }
    }

    pub fn send(&mut self, from: NodeId, outgoing: Outgoing, now: Time) {
        let Outgoing { to, message } = outgoing;
        self.messages += 1;
        if self.cut_links.contains(&(from, to)) || self.rng.f64() < self.loss {
            return;
        }
        if self.rng.f64() < self.repeat {
            self.enqueue(from, to, message.clone(), now);
        }
        self.enqueue(from, to, message, now);
    }

    fn enqueue(&mut self, from: NodeId, to: NodeId, message: Message, now: Time) {
        let at = now + self.delay.mul_f64(0.3 + self.rng.f64());
        self.packet_count += 1;
        self.packets
            .insert((at, self.packet_count), (from, to, message));
    }

    pub fn due(&self) -> Time {
        let first = self.packets.first_key_value();
        first.map_or(Time::NEVER, |((at, _), _)| *at)
    }

    pub fn deliver(&mut self, now: Time) -> Option<(NodeId, NodeId, Message)> {
        let first = self.packets.first_entry()?;
        if now < first.key().0 {
            return None;
        }
        Some(first.remove())
    }

    /// Cuts all links between a node and these others.
    pub fn isolate(&mut self, id: NodeId, others: &[NodeId]) {
        for other in others {
            self.cut_links.insert((id, *other));
            self.cut_links.insert((*other, id));
        }
    }

    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.loss = 0.0;
        self.repeat = 0.0;
        self.delay = Duration::from_millis(3);
    }
}
