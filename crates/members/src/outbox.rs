//! What waits to be sent, to whom, and how much may go.
//!
//! A rumor waits by name and is read when its datagram is built, so that the
//! latest state goes and nothing is queued twice. What exceeds the byte rate
//! waits; answers and urgent rumors go first.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Timing;
use crate::item::ItemId;
use crate::packet::Section;
use base::NodeId;
use base::Time;

/// Sections kept for one receiver, of each kind of queue.
const MAX_SECTIONS: usize = 96;

/// A datagram to send, without its tag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// To whom.
    pub to: NodeId,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// The content, at most [`crate::MAX_DATAGRAM_BYTES`].
    pub bytes: Vec<u8>,
}

/// What is told to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rumor {
    /// The header alone: the versions in force and heard of.
    Header,
    /// A member's record.
    Record(NodeId),
    /// An item.
    Item(ItemId),
}

/// Whether something may wait when the byte rate is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// Probes and their answers: never withheld, as silence means death. Their
    /// number is limited where they are made.
    Probe,
    /// Waits while the byte rate is used up.
    High,
    /// Leaves a part of the byte rate to the others.
    Low,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    left: u8,
    due: Time,
    urgency: Urgency,
}

/// What waits for one receiver.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    rumors: BTreeMap<Rumor, Pending>,
    /// Probes and their answers.
    pub probes: Vec<Section>,
    /// State that the receiver lacks.
    pub state: Vec<Section>,
}

/// Bytes that may be sent.
#[derive(Clone, Debug)]
struct Budget {
    rate: f64,
    burst: f64,
    left: f64,
    at: Time,
}

#[derive(Clone, Debug)]
pub(crate) struct Outbox {
    queues: BTreeMap<NodeId, Queue>,
    budget: Budget,
    rumor_repeat_after: Duration,
    /// The receiver served last. The next one in turn comes first.
    cursor: NodeId,
}

impl Outbox {
    pub fn open(timing: Timing, now: Time) -> Self {
        let burst = f64::from(timing.send_burst_bytes);
        let budget = Budget {
            rate: f64::from(timing.send_bytes_per_second),
            burst,
            left: burst,
            at: now,
        };
        Self {
            queues: BTreeMap::new(),
            budget,
            rumor_repeat_after: timing.rumor_repeat_after,
            cursor: NodeId(0),
        }
    }

    /// Tells a rumor to a receiver this many times.
    pub fn tell(&mut self, to: NodeId, rumor: Rumor, repeats: u8, urgency: Urgency, now: Time) {
        let pending = Pending {
            left: repeats,
            due: now,
            urgency,
        };
        let queue = self.queues.entry(to).or_default();
        queue.rumors.insert(rumor, pending);
    }

    /// Sends a probe or an answer to one.
    pub fn probe(&mut self, to: NodeId, section: Section) {
        push(&mut self.queues.entry(to).or_default().probes, section);
    }

    /// Sends what a receiver lacks.
    pub fn state(&mut self, to: NodeId, section: Section) {
        push(&mut self.queues.entry(to).or_default().state, section);
    }

    /// Receivers for whom something is due, the most urgent first.
    pub fn due(&mut self, now: Time) -> Vec<NodeId> {
        self.budget.fill(now);
        let due = self.queues.iter().filter_map(|(to, queue)| {
            let urgency = queue.urgency(now)?;
            Some((urgency, *to))
        });
        let mut due: Vec<(Urgency, NodeId)> = due.collect();
        let cursor = self.cursor;
        due.sort_by_key(|(urgency, to)| (*urgency, *to <= cursor, *to));
        due.into_iter().map(|(_, to)| to).collect()
    }

    /// Whether the byte rate leaves room. What is urgent may use the reserve.
    pub fn may_send(&self, urgency: Urgency) -> bool {
        match urgency {
            Urgency::Probe => true,
            Urgency::High => 0.0 < self.budget.left,
            Urgency::Low => self.budget.burst / 2.0 < self.budget.left,
        }
    }

    /// Notes that a datagram of this size goes to a receiver.
    pub fn spend(&mut self, to: NodeId, urgency: Urgency, bytes: usize) {
        if urgency != Urgency::Probe {
            self.cursor = to;
        }
        let left = self.budget.left - bytes as f64;
        self.budget.left = left.max(-self.budget.burst);
    }

    pub fn queue_mut(&mut self, to: NodeId) -> &mut Queue {
        self.queues.entry(to).or_default()
    }

    /// Drops what waits for a receiver.
    pub fn forget(&mut self, to: NodeId) {
        self.queues.remove(&to);
    }

    /// Notes that rumors went to a receiver.
    pub fn told(&mut self, to: NodeId, rumors: &[Rumor], now: Time) {
        let again = now + self.rumor_repeat_after;
        let Some(queue) = self.queues.get_mut(&to) else {
            return;
        };
        for rumor in rumors {
            let Some(pending) = queue.rumors.get_mut(rumor) else {
                continue;
            };
            pending.left = pending.left.saturating_sub(1);
            pending.due = again;
            if pending.left == 0 {
                queue.rumors.remove(rumor);
            }
        }
        if queue.is_empty() {
            self.queues.remove(&to);
        }
    }

    /// Bytes held, roughly.
    pub fn memory(&self) -> usize {
        let rumor = size_of::<Rumor>() + size_of::<Pending>();
        let queue = |queue: &Queue| {
            let sections = queue.probes.capacity() + queue.state.capacity();
            let rumors = queue.rumors.len() * rumor * 3 / 2;
            size_of::<Queue>() + rumors + sections * size_of::<Section>()
        };
        self.queues.values().map(queue).sum()
    }
}

fn push(sections: &mut Vec<Section>, section: Section) {
    if sections.len() < MAX_SECTIONS {
        sections.push(section);
    }
}

impl Queue {
    fn is_empty(&self) -> bool {
        self.rumors.is_empty() && self.probes.is_empty() && self.state.is_empty()
    }

    /// The urgency of the most urgent of what is due.
    pub fn urgency(&self, now: Time) -> Option<Urgency> {
        if !self.probes.is_empty() {
            return Some(Urgency::Probe);
        }
        let state = (!self.state.is_empty()).then_some(Urgency::Low);
        let due = self.rumors.values().filter(|pending| pending.due <= now);
        due.map(|pending| pending.urgency).chain(state).min()
    }

    /// Rumors that are due, the most urgent first.
    pub fn due(&self, now: Time) -> Vec<(Urgency, Rumor)> {
        let due = self.rumors.iter().filter(|(_, pending)| pending.due <= now);
        let mut due: Vec<(Urgency, Rumor)> = due.map(|(r, p)| (p.urgency, *r)).collect();
        due.sort_unstable();
        due
    }
}

impl Budget {
    fn fill(&mut self, now: Time) {
        let gained = now.since(self.at).as_secs_f64() * self.rate;
        self.left = self.burst.min(self.left + gained);
        self.at = self.at.max(now);
    }
}
