//! Changes of the members, one at a time.
//!
//! The members that an entry names are in force as soon as the entry is in the
//! log. One change must be committed before the next, so any majority of the
//! old members shares a voter with any majority of the new ones. A new member
//! is a learner until it has caught up.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::Duty;
use crate::Group;
use crate::Index;
use crate::Member;
use crate::Payload;
use crate::ProposalId;
use crate::Trust;
use crate::Voter;
use crate::progress::Progress;
use crate::role::State;
use base::DiskId;
use base::NodeId;
use base::Time;

const MAX_MEMBERS: usize = 7;

/// A learner this far behind becomes a voter.
const MAX_LAG_TO_VOTE: u64 = 64;

/// A change of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A node joins with this disk. It counts once it has caught up.
    Add {
        /// The node.
        node: NodeId,
        /// Its disk.
        disk: DiskId,
    },
    /// A member goes on with another disk in place of one that was lost. It
    /// counts again once it has caught up.
    Replace {
        /// The node.
        node: NodeId,
        /// Its new disk.
        disk: DiskId,
    },
    /// A node leaves.
    Remove {
        /// The node.
        node: NodeId,
    },
}

/// Why the members were not changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum ChangeError {
    /// Another voter leads, or none.
    #[display("this voter does not lead")]
    NotLeader {
        /// Who leads, if that is known.
        leader: Option<NodeId>,
    },
    /// An earlier change is still under way.
    #[display("another change of the voters is under way")]
    Busy,
    /// The node is a member already.
    #[display("{node} is a member with disk {disk}: remove it first")]
    AlreadyMember {
        /// The node.
        node: NodeId,
        /// Its disk in the group.
        disk: DiskId,
    },
    /// The node is no member.
    #[display("{node} is not a member")]
    NotMember {
        /// The node.
        node: NodeId,
    },
    /// The last voter cannot leave.
    #[display("{node} is the last voter")]
    LastVoter {
        /// The node.
        node: NodeId,
    },
    /// There are as many members as there may be.
    #[display("a group has at most {max} members")]
    Full {
        /// The limit.
        max: usize,
    },
}

impl Voter {
    /// Changes the members if this voter leads.
    pub fn change_members(&mut self, change: Change, now: Time) -> Result<ProposalId, ChangeError> {
        self.advance_clock(now);
        let group = self.changeable_group()?;
        let group = match change {
            Change::Add { node, disk } => add_learner(group, node, disk)?,
            Change::Replace { node, disk } => replace_disk(group, node, disk)?,
            Change::Remove { node } => remove_member(group, node)?,
        };
        Ok(self.append_group(group))
    }

    /// Lets a learner count that has caught up, and steps down once this voter's
    /// own removal is committed.
    pub(crate) fn advance_membership(&mut self) {
        if let Some(group) = self.group_with_promotion() {
            self.append_group(group);
        }
        if !self.is_voter() && self.is_group_committed() {
            self.hand_over_leadership(self.now);
            self.become_follower(self.term, None);
        }
    }

    /// The members, if they may be changed now.
    fn changeable_group(&self) -> Result<Group, ChangeError> {
        let leader = self.leader();
        let State::Leader(state) = &self.state else {
            return Err(ChangeError::NotLeader { leader });
        };
        let group = self.group().cloned().unwrap_or_default();
        if !state.has_committed_own_term(self.commit) || !self.is_group_committed() {
            return Err(ChangeError::Busy);
        }
        Ok(group)
    }

    fn is_group_committed(&self) -> bool {
        let since = self.log.latest_group().map(|(since, _)| since);
        since.is_some_and(|since| since <= self.commit)
    }

    fn group_with_promotion(&self) -> Option<Group> {
        let mut group = self.changeable_group().ok()?;
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let enough = Index(
            self.log
                .last_position()
                .index
                .0
                .saturating_sub(MAX_LAG_TO_VOTE),
        );
        let learner = group.members.iter_mut().find(|(node, member)| {
            let progress = leader.progress.get(node);
            let caught_up = |p: &Progress| {
                p.trust == Trust::Trusted && Index::default() < p.matched && enough <= p.matched
            };
            member.duty == Duty::Learner && progress.is_some_and(caught_up)
        });
        learner?.1.duty = Duty::Voter;
        Some(group)
    }

    fn append_group(&mut self, group: Group) -> ProposalId {
        self.track_members(&group);
        self.append_as_leader(Payload::Group(group))
    }
}

fn add_learner(mut group: Group, node: NodeId, disk: DiskId) -> Result<Group, ChangeError> {
    if let Some(member) = group.members.get(&node) {
        let disk = member.disk;
        return Err(ChangeError::AlreadyMember { node, disk });
    }
    if group
        .members
        .values()
        .any(|member| member.duty == Duty::Learner)
    {
        return Err(ChangeError::Busy);
    }
    if MAX_MEMBERS <= group.members.len() {
        let max = MAX_MEMBERS;
        return Err(ChangeError::Full { max });
    }
    let duty = Duty::Learner;
    group.members.insert(node, Member { disk, duty });
    Ok(group)
}

fn replace_disk(group: Group, node: NodeId, disk: DiskId) -> Result<Group, ChangeError> {
    if group.contains(node, disk) {
        return Err(ChangeError::AlreadyMember { node, disk });
    }
    add_learner(remove_member(group, node)?, node, disk)
}

fn remove_member(mut group: Group, node: NodeId) -> Result<Group, ChangeError> {
    if group.members.remove(&node).is_none() {
        return Err(ChangeError::NotMember { node });
    }
    if group.voters().next().is_none() {
        return Err(ChangeError::LastVoter { node });
    }
    Ok(group)
}
