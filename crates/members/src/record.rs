//! What is known of one member, and which of two claims about it wins.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::hash;
use base::CentreId;
use base::Incarnation;
use base::NodeId;

/// A node and where it is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// The node.
    pub node: NodeId,
    /// Its data centre.
    pub centre: CentreId,
    /// Where it takes datagrams.
    pub addr: SocketAddr,
}

/// One life of a member, and how often it refuted a suspicion in that life.
///
/// The default stands for a member that was never heard of.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{incarnation}.{refutation}")]
pub struct Generation {
    /// The process's life.
    pub incarnation: Incarnation,
    /// Refutations in this life.
    pub refutation: u32,
}

/// Lives and refutations at or beyond these are not believed.
const MAX_INCARNATION: Incarnation = Incarnation(1 << 62);
const MAX_REFUTATION: u32 = 1 << 30;

impl Generation {
    /// Whether a process can have said so of itself.
    pub(crate) fn is_plausible(self) -> bool {
        let Self {
            incarnation,
            refutation,
        } = self;
        let is_life = Incarnation(0) < incarnation && incarnation < MAX_INCARNATION;
        is_life && refutation < MAX_REFUTATION
    }
}

/// How a member stands. A later variant wins over an earlier one of the same
/// generation.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub enum Standing {
    /// Answers, as far as is known.
    #[display("alive")]
    Alive,
    /// Did not answer and has not refuted yet.
    #[display("suspect")]
    Suspect,
    /// Did not refute in time.
    #[display("dead")]
    Dead,
    /// Has left by itself. Only a new life comes back.
    #[display("left")]
    Left,
}

/// A claim about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub peer: Peer,
    pub generation: Generation,
    pub standing: Standing,
}

impl Record {
    /// A hash of what members compare.
    pub fn hash(&self) -> u64 {
        hash::hash(&[
            u64::from(self.peer.node.0),
            self.generation.incarnation.0,
            u64::from(self.generation.refutation),
            self.standing as u64,
        ])
    }

    /// Whether this claim wins over another about the same member.
    pub fn supersedes(&self, known: &Self) -> bool {
        let mine = self.generation;
        let other = known.generation;
        if mine.incarnation != other.incarnation {
            return other.incarnation < mine.incarnation;
        }
        if self.standing == Standing::Left || known.standing == Standing::Left {
            return known.standing < self.standing;
        }
        (other.refutation, known.standing) < (mine.refutation, self.standing)
    }
}
