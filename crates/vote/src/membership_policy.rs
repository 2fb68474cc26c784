//! Which membership change a group needs next to stay complete without an operator.
//!
//! A voter that returns with an empty disk becomes a member again with that disk. A
//! new node becomes a member if there are too few voters, if a voter has been silent
//! for long, or if one is about to stop. The voter is removed only once the new one
//! votes, so the group has no fewer voters while the new one catches up. A removed
//! voter whose disk is sound becomes a spare node, so replacing one that would have
//! come back costs nothing but the way there.
//!
//! A deployment bears the next loss once a successor has had its time to catch up. So
//! the exchange must be complete by then: the silence after which a voter is replaced
//! leaves [`EXCHANGE_TIME`] for it.

use std::time::Duration;

use crate::Change;
use crate::Duty;
use crate::Group;
use crate::NonMember;
use crate::Peer;
use crate::Status;
use crate::Trust;
use base::NodeId;

/// How long a successor may take to catch up, unless the settings say so.
pub const DEFAULT_CATCH_UP: Duration = Duration::from_secs(4);

/// How long it takes at most to exchange a voter once its loss is noticed. Adding the
/// new one while it catches up, its promotion and the removal of the old one are one
/// commit each. A lost message costs 450 ms (`resend_after` and a heartbeat) and a
/// commit 100 ms; the check for losses and the first hello are the rest.
const EXCHANGE_TIME: Duration = Duration::from_millis(2_000);

/// The shortest silence after which a voter is replaced. An election may take almost as
/// long.
const MIN_REPLACE_AFTER: Duration = Duration::from_millis(1_500);

/// The longest silence after which a voter is replaced, however long a successor may
/// take.
const MAX_REPLACE_AFTER: Duration = Duration::from_secs(4);

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
        let policy = Self {
            voters: 2 * losses + 1,
            replace_after: MAX_REPLACE_AFTER,
            replace_disk_after: Duration::from_millis(700),
        };
        policy.with_catch_up(DEFAULT_CATCH_UP)
    }

    /// Replaces a voter in time for successors that may take this long to catch up.
    pub fn with_catch_up(self, catch_up: Duration) -> Self {
        let replace_after = catch_up.saturating_sub(EXCHANGE_TIME);
        Self {
            replace_after: replace_after.clamp(MIN_REPLACE_AFTER, MAX_REPLACE_AFTER),
            ..self
        }
    }

    /// The next membership change, if one is needed, according to the leader's status.
    pub fn next_change(&self, status: &Status, group: &Group) -> Option<Change> {
        let replacement = disk_replacement(self.replace_disk_after, status, group);
        let candidate = candidate(status, group);
        let learner = status.peers.iter().find(|peer| peer.duty == Duty::Learner);
        if let Some(learner) = learner.filter(|learner| self.is_lost(learner))
            && replacement.is_none_or(|returned| returned.node != learner.node)
            && (replacement.is_some() || candidate.is_some())
        {
            // There is one learner at a time, so this one keeps all others out.
            let node = learner.node;
            return Some(Change::Remove { node });
        }
        if let Some(NonMember { node, disk }) = replacement {
            return Some(Change::Replace { node, disk });
        }
        let replaceable = self.replaceable_voter(status, group);
        let voter_count = group.voters().count();
        if self.voters < voter_count {
            let node = replaceable.or_else(|| self.surplus_voter(status))?;
            return Some(Change::Remove { node });
        }
        let needs_voter = voter_count < self.voters || replaceable.is_some();
        if learner.is_some() || !needs_voter {
            return None;
        }
        let NonMember { node, disk } = candidate?;
        Some(Change::Add { node, disk })
    }

    /// Whether the group can go on with as many voters as it should have when a voter
    /// leaves: there is one more, or another node that may come in its place.
    pub fn can_release(&self, status: &Status, group: &Group) -> bool {
        let mut peers = status.peers.iter();
        let has_learner = peers.any(|peer| peer.duty == Duty::Learner && !self.is_lost(peer));
        self.voters < group.voters().count() || has_learner || candidate(status, group).is_some()
    }

    /// The voter to be replaced: the one that has been silent longest, or one that is
    /// about to stop.
    fn replaceable_voter(&self, status: &Status, group: &Group) -> Option<NodeId> {
        let voters = status.peers.iter().filter(|p| p.duty == Duty::Voter);
        let lost = voters.filter(|peer| self.is_lost(peer));
        let lost = lost.max_by_key(|peer| peer.silent).map(|peer| peer.node);
        let leaving = status.leaving.iter().copied();
        lost.or_else(|| leaving.into_iter().find(|node| group.is_voter(*node)))
    }

    /// The voter to do without if there are more than there should be and all answer: one that was
    /// taken for lost came back before it was removed. An even number of voters bears no more
    /// losses than the odd one below it, and may be cut into halves. A new leader waits until it
    /// would know of those that are lost or about to stop.
    fn surplus_voter(&self, status: &Status) -> Option<NodeId> {
        if status.members_for < self.replace_after {
            return None;
        }
        let voters = status.peers.iter().filter(|p| p.duty == Duty::Voter);
        let slowest = voters.max_by_key(|peer| peer.silent)?;
        let answers = slowest
            .silent
            .is_some_and(|ago| ago < self.replace_disk_after);
        answers.then_some(slowest.node)
    }

    fn is_lost(&self, peer: &Peer) -> bool {
        let is_silent = peer.silent.is_some_and(|ago| self.replace_after <= ago);
        is_silent || peer.trust == Trust::Distrusted
    }
}

/// The node to be added next: of those that ask, the one that was heard last.
fn candidate(status: &Status, group: &Group) -> Option<NonMember> {
    let mut non_members = status.non_members.iter().copied();
    non_members.find(|other| !group.members.contains_key(&other.node))
}

/// The member that returned with another disk. While the disk in the group still
/// answers, the report of the other disk is outdated.
fn disk_replacement(replace_after: Duration, status: &Status, group: &Group) -> Option<NonMember> {
    let mut non_members = status.non_members.iter().copied();
    non_members.find(|node| {
        let member = group.members.get(&node.node);
        let mut peers = status.peers.iter();
        let peer = peers.find(|peer| peer.node == node.node);
        let silent = peer.and_then(|peer| peer.silent);
        let is_silent = silent.is_some_and(|ago| replace_after <= ago);
        is_silent && member.is_some_and(|member| member.disk != node.disk)
    })
}
