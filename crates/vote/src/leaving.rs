//! Members that are about to stop.
//!
//! A voter that is told to stop can't know whether it will come back. It tells the leader, which
//! has it replaced at once if another node is at hand, in place of waiting for its silence.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Group;
use crate::MembershipPolicy;
use crate::Voter;
use crate::role::RoleState;
use base::NodeId;
use base::Time;

/// How long a member counts as leaving after it last said so.
const LEAVING_VALID_FOR: Duration = Duration::from_secs(1);

/// What the leader answers a member that is about to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Release {
    /// It is no member of the group any more.
    Released,
    /// It is being replaced and should ask again.
    Pending,
    /// There is nobody to take its place, so it remains a member.
    NoSpare,
    /// The asked voter does not lead.
    NotLeading,
}

/// Whether a member that is about to stop goes on waiting for its release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseWait {
    /// No other node is known here that could take its place.
    Unexpected,
    /// Another node is known here.
    Expected,
    /// A leader has begun to replace this member. The next one may not know the other node yet.
    Begun,
}

impl ReleaseWait {
    /// Begins to wait for the release of this voter.
    pub fn begin(voter: &Voter, policy: &MembershipPolicy) -> Self {
        let status = voter.status();
        let group = voter.group();
        let is_member = |group: &Group| group.members.contains_key(&voter.cfg.id);
        let is_expected = |group| !is_member(group) || policy.can_release(&status, group);
        match group.is_some_and(is_expected) {
            true => Self::Expected,
            false => Self::Unexpected,
        }
    }

    /// Whether to ask again after this answer.
    pub fn goes_on(&mut self, answer: Release) -> bool {
        match answer {
            Release::Pending => {
                *self = Self::Begun;
                true
            }
            Release::NotLeading => *self != Self::Unexpected,
            Release::NoSpare => *self == Self::Begun,
            Release::Released => false,
        }
    }
}

impl Voter {
    /// Has a member that is about to stop replaced, if this voter leads and another node
    /// is at hand. The member asks until it is released.
    pub fn release(&mut self, node: NodeId, policy: &MembershipPolicy, now: Time) -> Release {
        self.advance_clock(now);
        let now = self.now;
        let status = self.status();
        let is_committed = self.is_group_committed();
        let group = self.group().cloned().unwrap_or_default();
        let RoleState::Leader(leader) = &mut self.state else {
            return Release::NotLeading;
        };
        if !group.members.contains_key(&node) {
            return match is_committed {
                true => Release::Released,
                false => Release::Pending,
            };
        }
        if !policy.can_release(&status, &group) {
            return Release::NoSpare;
        }
        leader.leaving.insert(node, now);
        Release::Pending
    }

    /// Whether this node is no member of the group, as far as it knows of committed changes.
    pub fn has_left(&self) -> bool {
        let is_member = |group: &Group| group.members.contains_key(&self.cfg.id);
        self.is_group_committed() && !self.group().is_some_and(is_member)
    }

    pub(crate) fn leaving_members(&self) -> BTreeSet<NodeId> {
        let RoleState::Leader(leader) = &self.state else {
            return BTreeSet::new();
        };
        let is_valid = |said_at: &Time| self.now.since(*said_at) < LEAVING_VALID_FOR;
        let leaving = leader.leaving.iter();
        let leaving = leaving.filter(|(_, said_at)| is_valid(said_at));
        leaving.map(|(node, _)| *node).collect()
    }
}
