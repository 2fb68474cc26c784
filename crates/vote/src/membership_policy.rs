//! Which membership change a group needs next to stay complete without an operator.
//!
//! A voter that returns with an empty disk becomes a member again with that disk. A
//! new node becomes a member if there are too few voters, or if a voter has been
//! silent for long. The silent voter is removed only once the new one votes, so the
//! group has no fewer voters while the new one catches up.

use std::time::Duration;

use crate::Change;
use crate::Duty;
use crate::Group;
use crate::Status;

/// How many voters a group should have, and when one may be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// The number of voters the group should have.
    pub voters: usize,
    /// A voter that has been silent this long may be replaced by another node.
    pub replace_after: Duration,
    /// A member whose disk has been silent this long is given its new disk, if it is
    /// back with one. The old disk is then taken to be lost.
    pub replace_disk_after: Duration,
}

impl MembershipPolicy {
    /// The policy for a group that survives the loss of this many disks at once.
    pub fn tolerating_losses(losses: usize) -> Self {
        Self {
            voters: 2 * losses + 1,
            replace_after: Duration::from_secs(4),
            replace_disk_after: Duration::from_millis(700),
        }
    }

    /// The next membership change, if one is needed, according to the leader's status.
    pub fn next_change(&self, status: &Status, group: &Group) -> Option<Change> {
        if let Some(change) = self.disk_replacement(status, group) {
            return Some(change);
        }
        let is_silent =
            |silent: Option<Duration>| silent.is_some_and(|ago| self.replace_after <= ago);
        let silent = status.peers.iter().find(|peer| is_silent(peer.silent));
        let voter_count = group.voters().count();
        if let Some(silent) = silent
            && self.voters < voter_count
        {
            return Some(Change::Remove { node: silent.node });
        }
        let has_learner = status.peers.iter().any(|peer| peer.duty == Duty::Learner);
        let needs_voter = voter_count < self.voters || silent.is_some();
        if has_learner || !needs_voter {
            return None;
        }
        let mut non_members = status.non_members.iter();
        let new = non_members.find(|other| !group.members.contains_key(&other.node))?;
        Some(Change::Add {
            node: new.node,
            disk: new.disk,
        })
    }

    /// The change for a member that returned with another disk. While the disk in the
    /// group still answers, the report of the other disk is outdated.
    fn disk_replacement(&self, status: &Status, group: &Group) -> Option<Change> {
        let returned = status.non_members.iter().find(|node| {
            let member = group.members.get(&node.node);
            let mut peers = status.peers.iter();
            let peer = peers.find(|peer| peer.node == node.node);
            let silent = peer.and_then(|peer| peer.silent);
            let is_silent = silent.is_some_and(|ago| self.replace_disk_after <= ago);
            is_silent && member.is_some_and(|member| member.disk != node.disk)
        })?;
        Some(Change::Replace {
            node: returned.node,
            disk: returned.disk,
        })
    }
}
