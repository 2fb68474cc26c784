//! The granter and the candidate of a node, which receive messages together.

use crate::Candidate;
use crate::Config;
use crate::Granter;
use crate::Message;
use crate::OutgoingMessage;
use crate::PersistedState;
use crate::Promise;
use crate::WallTime;
use base::Fence;
use base::Incarnation;
use base::NodeId;
use base::Time;

/// A message to send, once the promise that it depends on, if any, is synced to disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Output {
    /// The promise that must be synced before the message is sent, on a node with a disk.
    pub sync_first: Option<Promise>,
    /// The message. One to the node itself is passed to [`Lease::receive`].
    pub outgoing: OutgoingMessage,
}

/// A node's role in the lease of its data centre, as candidate and as granter.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Bids for the lease and knows whether this node holds it.
    pub candidate: Candidate,
    /// Grants the lease to other nodes and this one. Used only on nodes listed as granters.
    pub granter: Granter,
}

impl Lease {
    /// Creates a node's candidate and granter. `incarnation` is larger than any earlier one.
    pub fn new(
        cfg: Config,
        node: NodeId,
        incarnation: Incarnation,
        persisted: PersistedState,
        wall: WallTime,
        now: Time,
    ) -> Self {
        Self {
            candidate: Candidate::new(cfg, node, incarnation, now),
            granter: Granter::new(persisted, wall, now),
        }
    }

    /// Records a fencing number that a host reported.
    pub fn observe_fence(&mut self, fence: Fence) {
        self.candidate.observe_fence(fence);
        self.granter.observe_fence(fence);
    }

    /// Returns the messages to send now. To be called at least every 100 ms.
    pub fn tick(&mut self, wall: WallTime, now: Time) -> Vec<Output> {
        let messages = self.candidate.tick(wall, now).into_iter();
        messages.map(Output::without_sync).collect()
    }

    /// Handles a message from an authenticated node, and returns the answer to it.
    pub fn receive(&mut self, from: NodeId, message: Message, now: Time) -> Option<Output> {
        self.candidate.receive(from, message, now);
        if message.sender().is_some_and(|sender| sender != from) {
            return None;
        }
        let reply = self.granter.receive(message, now)?;
        let outgoing = OutgoingMessage {
            to: from,
            message: reply.message,
        };
        Some(Output {
            sync_first: reply.sync_first,
            outgoing,
        })
    }

    /// Releases the lease and stops bidding. The caller must have stopped sending orders.
    pub fn stop(&mut self) -> Vec<Output> {
        let messages = self.candidate.stop().into_iter();
        messages.map(Output::without_sync).collect()
    }
}

impl Output {
    fn without_sync(outgoing: OutgoingMessage) -> Self {
        Self {
            sync_first: None,
            outgoing,
        }
    }
}
