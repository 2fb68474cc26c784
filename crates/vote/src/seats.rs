//! Which change keeps a group whole without an operator.
//!
//! A voter that comes back with an empty disk gets its seat again, with that disk. A node
//! that is new takes a seat if there are too few, or if a voter has been silent for long;
//! that voter's seat is then taken away. The group is never smaller than it has to be
//! while a new voter catches up.

use std::time::Duration;

use crate::Change;
use crate::Duty;
use crate::Group;
use crate::Status;

/// How many voters a group is to have, and when one may be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seats {
    /// Voters that are wanted.
    pub wanted: usize,
    /// A voter that is silent this long may be replaced by a new one.
    pub silent: Duration,
    /// A voter that is silent this long, and is back with another disk, lost its own.
    pub emptied: Duration,
}

impl Seats {
    /// Seats for a group that outlives the loss of so many disks at once.
    pub fn for_losses(losses: usize) -> Self {
        Self {
            wanted: 2 * losses + 1,
            silent: Duration::from_secs(4),
            emptied: Duration::from_millis(700),
        }
    }

    /// The change that the seats need next, if any, as the leader sees it.
    pub fn due(&self, status: &Status, group: &Group) -> Option<Change> {
        if let Some(change) = self.emptied(status, group) {
            return Some(change);
        }
        let is_silent = |silent: Option<Duration>| silent.is_some_and(|ago| self.silent <= ago);
        let silent = status.peers.iter().find(|peer| is_silent(peer.silent));
        let voters = group.voters().count();
        if let Some(silent) = silent
            && self.wanted < voters
        {
            return Some(Change::Remove { node: silent.node });
        }
        let learns = status.peers.iter().any(|peer| peer.duty == Duty::Learner);
        let is_short = voters < self.wanted || silent.is_some();
        if learns || !is_short {
            return None;
        }
        let mut strangers = status.strangers.iter();
        let new = strangers.find(|stranger| !group.seats.contains_key(&stranger.node))?;
        Some(Change::Add {
            node: new.node,
            disk: new.disk,
        })
    }

    /// A member that came back with another disk. If the disk of its seat still answers,
    /// the word of the other one is old.
    fn emptied(&self, status: &Status, group: &Group) -> Option<Change> {
        let back = status.strangers.iter().find(|stranger| {
            let seat = group.seats.get(&stranger.node);
            let mut peers = status.peers.iter();
            let peer = peers.find(|peer| peer.node == stranger.node);
            let silent = peer.and_then(|peer| peer.silent);
            let is_gone = silent.is_some_and(|ago| self.emptied <= ago);
            is_gone && seat.is_some_and(|seat| seat.disk != stranger.disk)
        })?;
        Some(Change::Replace {
            node: back.node,
            disk: back.disk,
        })
    }
}
