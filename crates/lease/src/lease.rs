//! The granter and the candidate of one node, behind one inbox.

use crate::Candidate;
use crate::Config;
use crate::Granter;
use crate::Memory;
use crate::Message;
use crate::Promise;
use crate::Send;
use crate::WallTime;
use base::Fence;
use base::Incarnation;
use base::NodeId;
use base::Time;

/// A message to send once a promise is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Output {
    /// Must be synced before the message goes, on a node with a disk.
    pub durable: Option<Promise>,
    /// What to send. One to the node itself goes back into [`Lease::receive`].
    pub send: Send,
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
    pub fn open(
        cfg: Config,
        node: NodeId,
        incarnation: Incarnation,
        memory: Memory,
        wall: WallTime,
        now: Time,
    ) -> Self {
        Self {
            candidate: Candidate::open(cfg, node, incarnation, now),
            granter: Granter::open(memory, wall, now),
        }
    }

    /// Takes in a fencing number that a host reported.
    pub fn saw(&mut self, fence: Fence) {
        self.candidate.saw(fence);
        self.granter.saw(fence);
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
        let send = Send {
            to: from,
            message: reply.message,
        };
        Some(Output {
            durable: reply.durable,
            send,
        })
    }

    /// Gives the lease back. The caller has stopped ordering before.
    pub fn stop(&mut self) -> Vec<Output> {
        let sends = self.candidate.stop().into_iter();
        sends.map(Output::at_once).collect()
    }
}

impl Output {
    fn at_once(send: Send) -> Self {
        Self {
            durable: None,
            send,
        }
    }
}
