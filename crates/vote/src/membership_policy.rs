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
pub struct MembershipPolicy {
    /// Voters that are wanted.
    pub voters: usize,
    /// A voter that is silent this long may be replaced by a new one.
    pub replace_after: Duration,
    /// A voter that is silent this long, and is back with another disk, lost its own.
    pub empty_after: Duration,
}

impl MembershipPolicy {
    /// Seats for a group that outlives the loss of so many disks at once.
    pub fn tolerating_losses(losses: usize) -> Self {
        Self {
            voters: 2 * losses + 1,
            replace_after: Duration::from_secs(4),
            empty_after: Duration::from_millis(700),
        }
    }

    /// The change that the seats need next, if any, as the leader sees it.
    pub fn next_change(&self, status: &Status, group: &Group) -> Option<Change> {
        if let Some(change) = self.replaced_disk(status, group) {
            return Some(change);
        }
        let is_silent =
            |silent: Option<Duration>| silent.is_some_and(|ago| self.replace_after <= ago);
        let silent = status.peers.iter().find(|peer| is_silent(peer.silent));
        let voters = group.voters().count();
        if let Some(silent) = silent
            && self.voters < voters
        {
            return Some(Change::Remove { node: silent.node });
        }
        let learns = status.peers.iter().any(|peer| peer.duty == Duty::Learner);
        let is_short = voters < self.voters || silent.is_some();
        if learns || !is_short {
            return None;
        }
        let mut non_members = status.non_members.iter();
        let new = non_members.find(|node| !group.members.contains_key(&node.node))?;
        Some(Change::Add {
            node: new.node,
            disk: new.disk,
        })
    }

    /// A member that came back with another disk. If the disk of its seat still answers,
    /// the word of the other one is old.
    fn replaced_disk(&self, status: &Status, group: &Group) -> Option<Change> {
        let back = status.non_members.iter().find(|node| {
            let member = group.members.get(&node.node);
            let mut peers = status.peers.iter();
            let peer = peers.find(|peer| peer.node == node.node);
            let silent = peer.and_then(|peer| peer.silent);
            let is_gone = silent.is_some_and(|ago| self.empty_after <= ago);
            is_gone && member.is_some_and(|member| member.disk != node.disk)
        })?;
        Some(Change::Replace {
            node: back.node,
            disk: back.disk,
        })
    }
}
