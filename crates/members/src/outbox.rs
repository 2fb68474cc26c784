//! Queues of what waits to be sent to each receiver, and the byte budget.
//!
//! A rumor is queued by name. Its content is read when the datagram is built, so
//! that the latest state is sent and nothing is queued twice. What exceeds the
//! byte rate waits; probes, answers and urgent rumors go first.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Timing;
use crate::item::ItemId;
use crate::packet::Section;
use base::NodeId;
use base::Time;

/// The most sections in each of a receiver's two section queues.
const MAX_QUEUED_SECTIONS: usize = 96;

/// A datagram to send, without its tag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// The receiver.
    pub to: NodeId,
    /// The receiver's address.
    pub addr: SocketAddr,
    /// The content, of at most [`crate::MAX_DATAGRAM_BYTES`].
    pub bytes: Vec<u8>,
}

/// Names something that is spread by gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rumor {
    /// The datagram header, which holds the version in force and the newest one.
    Header,
    Record(NodeId),
    Item(ItemId),
}

/// The precedence of what is sent when the byte rate is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// Probes and their answers: never delayed, as a node that does not answer is
    /// declared dead. Their number is limited where they are made.
    Probe,
    /// Waits while the byte rate is used up.
    High,
    /// Waits while less than half of the burst is left, which the others may use.
    Low,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    sends_left: u8,
    due_at: Time,
    urgency: Urgency,
}

/// What waits to be sent to one receiver.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceiverQueue {
    rumors: BTreeMap<Rumor, Pending>,
    /// Probes and their answers.
    pub probes: Vec<Section>,
    /// Records, items and hashes that bring the receiver up to date.
    pub state: Vec<Section>,
}

/// A token bucket of the bytes that may be sent. The rate is in bytes a second.
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
    /// The receiver served last. The one with the next higher id comes first.
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

    /// Queues a rumor, to be sent to a receiver `repeats` times.
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

    pub fn queue_probe(&mut self, to: NodeId, section: Section) {
        push(&mut self.queues.entry(to).or_default().probes, section);
    }

    pub fn queue_state(&mut self, to: NodeId, section: Section) {
        push(&mut self.queues.entry(to).or_default().state, section);
    }

    /// Receivers to whom something is due, those with the most urgent first.
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

    /// Whether the byte budget allows to send something of this urgency.
    pub fn may_send(&self, urgency: Urgency) -> bool {
        match urgency {
            Urgency::Probe => true,
            Urgency::High => 0.0 < self.budget.available,
            Urgency::Low => self.budget.burst / 2.0 < self.budget.available,
        }
    }

    /// Charges a datagram of this size to the byte budget.
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

    pub fn drop_queue(&mut self, to: NodeId) {
        self.queues.remove(&to);
    }

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

    /// Estimated memory use in bytes.
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

    /// The urgency of the most urgent that is due, if anything is.
    pub fn urgency(&self, now: Time) -> Option<Urgency> {
        if !self.probes.is_empty() {
            return Some(Urgency::Probe);
        }
        let state = (!self.state.is_empty()).then_some(Urgency::Low);
        let due = self.rumors.values().filter(|pending| pending.due_at <= now);
        due.map(|pending| pending.urgency).chain(state).min()
    }

    /// The rumors that are due, the most urgent first.
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
