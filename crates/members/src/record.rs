//! Claims about a member, and which of two claims about the same member wins.

use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::hash;
use base::CentreId;
use base::Incarnation;
use base::NodeId;

/// A node, its data centre and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// The node.
    pub node: NodeId,
    /// Its data centre.
    pub centre: CentreId,
    /// Where it receives datagrams.
    pub addr: SocketAddr,
}

/// A member's incarnation, and how often it has refuted a claim against it.
///
/// The default stands for a member of which nothing was heard yet.
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
    /// The incarnation of the member's process.
    pub incarnation: Incarnation,
    /// Refutations in this incarnation.
    pub refutation: u32,
}

/// Claims with incarnations or refutations of at least these are ignored.
const MAX_INCARNATION: Incarnation = Incarnation(1 << 62);
const MAX_REFUTATION: u32 = 1 << 30;

impl Generation {
    /// Whether a running process can have this generation.
    pub(crate) fn is_plausible(self) -> bool {
        let Self {
            incarnation,
            refutation,
        } = self;
        let is_in_range = Incarnation(0) < incarnation && incarnation < MAX_INCARNATION;
        is_in_range && refutation < MAX_REFUTATION
    }
}

/// Whether a member is alive. Of two claims with the same generation, the later
/// variant wins.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub enum Standing {
    /// The member answers, as far as is known.
    #[display("alive")]
    Alive,
    /// The member did not answer and has not refuted the suspicion yet.
    #[display("suspect")]
    Suspect,
    /// The member did not refute the suspicion in time.
    #[display("dead")]
    Dead,
    /// The member has left by itself. Only a larger incarnation comes back.
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
    /// A hash of the claim, by which members compare what they know.
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
