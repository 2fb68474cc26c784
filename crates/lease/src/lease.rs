//! The granter and the candidate of one node, behind one inbox.

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

/// A message to send once a promise is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Output {
    /// Must be synced before the message goes, on a node with a disk.
    pub sync_first: Option<Promise>,
    /// What to send. One to the node itself goes back into [`Lease::receive`].
    pub outgoing: OutgoingMessage,
}

/// One node's part in its data centre's lease.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Wants the lease and knows whether it holds.
    pub candidate: Candidate,
    /// Grants it to others and to this node. Only asked by listed granters.
    pub granter: Granter,
}

impl Lease {
    /// Starts a node's part. `incarnation` is larger than in any earlier life.
    pub fn new(
        cfg: Config,
        node: NodeId,
        incarnation: Incarnation,
        memory: PersistedState,
        wall: WallTime,
        now: Time,
    ) -> Self {
        Self {
            candidate: Candidate::new(cfg, node, incarnation, now),
            granter: Granter::new(memory, wall, now),
        }
    }

    /// Takes in a fencing number that a host reported.
    pub fn observe_fence(&mut self, fence: Fence) {
        self.candidate.observe_fence(fence);
        self.granter.observe_fence(fence);
    }

    /// Does what is due. To be called at least every 100 ms.
    pub fn tick(&mut self, wall: WallTime, now: Time) -> Vec<Output> {
        let sends = self.candidate.tick(wall, now).into_iter();
        sends.map(Output::at_once).collect()
    }

    /// Takes in a message of a node that proved who it is.
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

    /// Gives the lease back. The caller has stopped ordering before.
    pub fn stop(&mut self) -> Vec<Output> {
        let sends = self.candidate.stop().into_iter();
        sends.map(Output::at_once).collect()
    }
}

impl Output {
    fn at_once(outgoing: OutgoingMessage) -> Self {
        Self {
            sync_first: None,
            outgoing,
        }
    }
}
