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
const MAX_QUEUED_SECTIONS: usize = 96;

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
    sends_left: u8,
    due_at: Time,
    urgency: Urgency,
}

/// What waits for one receiver.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceiverQueue {
    rumors: BTreeMap<Rumor, Pending>,
    /// Probes and their answers.
    pub probes: Vec<Section>,
    /// State that the receiver lacks.
    pub state: Vec<Section>,
}

/// Bytes that may be sent.
#[derive(Clone, Debug)]
struct ByteBudget {
    rate: f64,
    burst: f64,
    available: f64,
    refilled_at: Time,
}

#[derive(Clone, Debug)]
pub(crate) struct Outbox {
    queues: BTreeMap<NodeId, ReceiverQueue>,
    budget: ByteBudget,
    rumor_repeat_after: Duration,
    /// The receiver served last. The next one in turn comes first.
    last_served: NodeId,
}

impl Outbox {
    pub fn new(timing: Timing, now: Time) -> Self {
        let burst = f64::from(timing.send_burst_bytes);
        let budget = ByteBudget {
            rate: f64::from(timing.send_bytes_per_second),
            burst,
            available: burst,
            refilled_at: now,
        };
        Self {
            queues: BTreeMap::new(),
            budget,
            rumor_repeat_after: timing.rumor_repeat_after,
            last_served: NodeId(0),
        }
    }

    /// Tells a rumor to a receiver this many times.
    pub fn queue_rumor(
        &mut self,
        to: NodeId,
        rumor: Rumor,
        repeats: u8,
        urgency: Urgency,
        now: Time,
    ) {
        let pending = Pending {
            sends_left: repeats,
            due_at: now,
            urgency,
        };
        let queue = self.queues.entry(to).or_default();
        queue.rumors.insert(rumor, pending);
    }

    /// Sends a probe or an answer to one.
    pub fn queue_probe(&mut self, to: NodeId, section: Section) {
        push(&mut self.queues.entry(to).or_default().probes, section);
    }

    /// Sends what a receiver lacks.
    pub fn queue_state(&mut self, to: NodeId, section: Section) {
        push(&mut self.queues.entry(to).or_default().state, section);
    }

    /// Receivers for whom something is due, the most urgent first.
    pub fn receivers_due(&mut self, now: Time) -> Vec<NodeId> {
        self.budget.refill(now);
        let due = self.queues.iter().filter_map(|(to, queue)| {
            let urgency = queue.urgency(now)?;
            Some((urgency, *to))
        });
        let mut due: Vec<(Urgency, NodeId)> = due.collect();
        let last_served = self.last_served;
        due.sort_by_key(|(urgency, to)| (*urgency, *to <= last_served, *to));
        due.into_iter().map(|(_, to)| to).collect()
    }

    /// Whether the byte rate leaves room. What is urgent may use the reserve.
    pub fn may_send(&self, urgency: Urgency) -> bool {
        match urgency {
            Urgency::Probe => true,
            Urgency::High => 0.0 < self.budget.available,
            Urgency::Low => self.budget.burst / 2.0 < self.budget.available,
        }
    }

    /// Notes that a datagram of this size goes to a receiver.
    pub fn record_sent(&mut self, to: NodeId, urgency: Urgency, bytes: usize) {
        if urgency != Urgency::Probe {
            self.last_served = to;
        }
        let left = self.budget.available - bytes as f64;
        self.budget.available = left.max(-self.budget.burst);
    }

    pub fn queue_mut(&mut self, to: NodeId) -> &mut ReceiverQueue {
        self.queues.entry(to).or_default()
    }

    /// Drops what waits for a receiver.
    pub fn drop_queue(&mut self, to: NodeId) {
        self.queues.remove(&to);
    }

    /// Notes that rumors went to a receiver.
    pub fn mark_sent(&mut self, to: NodeId, rumors: &[Rumor], now: Time) {
        let due_at = now + self.rumor_repeat_after;
        let Some(queue) = self.queues.get_mut(&to) else {
            return;
        };
        for rumor in rumors {
            let Some(pending) = queue.rumors.get_mut(rumor) else {
                continue;
            };
            pending.sends_left = pending.sends_left.saturating_sub(1);
            pending.due_at = due_at;
            if pending.sends_left == 0 {
                queue.rumors.remove(rumor);
            }
        }
        if queue.is_empty() {
            self.queues.remove(&to);
        }
    }

    /// Bytes held, roughly.
    pub fn memory_bytes(&self) -> usize {
        let rumor = size_of::<Rumor>() + size_of::<Pending>();
        let queue = |queue: &ReceiverQueue| {
            let sections = queue.probes.capacity() + queue.state.capacity();
            let rumors = queue.rumors.len() * rumor * 3 / 2;
            size_of::<ReceiverQueue>() + rumors + sections * size_of::<Section>()
        };
        self.queues.values().map(queue).sum()
    }
}

fn push(sections: &mut Vec<Section>, section: Section) {
    if sections.len() < MAX_QUEUED_SECTIONS {
        sections.push(section);
    }
}

impl ReceiverQueue {
    fn is_empty(&self) -> bool {
        self.rumors.is_empty() && self.probes.is_empty() && self.state.is_empty()
    }

    /// The urgency of the most urgent of what is due.
    pub fn urgency(&self, now: Time) -> Option<Urgency> {
        if !self.probes.is_empty() {
            return Some(Urgency::Probe);
        }
        let state = (!self.state.is_empty()).then_some(Urgency::Low);
        let due = self.rumors.values().filter(|pending| pending.due_at <= now);
        due.map(|pending| pending.urgency).chain(state).min()
    }

    /// Rumors that are due, the most urgent first.
    pub fn due_rumors(&self, now: Time) -> Vec<(Urgency, Rumor)> {
        let due = self
            .rumors
            .iter()
            .filter(|(_, pending)| pending.due_at <= now);
        let mut due: Vec<(Urgency, Rumor)> = due.map(|(r, p)| (p.urgency, *r)).collect();
        due.sort_unstable();
        due
    }
}

impl ByteBudget {
    fn refill(&mut self, now: Time) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.available = self.burst.min(self.available + gained);
        self.refilled_at = self.refilled_at.max(now);
    }
}
