//! Membership changes, one at a time.
//!
//! The members that a log entry names are in force as soon as the entry is in the
//! log. A change must be committed before the next one, so any majority of the old
//! members shares a voter with any majority of the new ones. A new member is a
//! learner until it has caught up.

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
use crate::role::RoleState;
use base::DiskId;
use base::NodeId;
use base::Time;

const MAX_MEMBERS: usize = 7;

/// A learner that lags by at most this many entries becomes a voter.
const MAX_LAG_TO_VOTE: u64 = 64;

/// A change of the members of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a node with this disk as a learner. It votes once it has caught up.
    Add {
        /// The node to add.
        node: NodeId,
        /// The disk of that node.
        disk: DiskId,
    },
    /// Gives a member another disk in place of one that was lost. The member is a
    /// learner until it has caught up.
    Replace {
        /// The node of the member.
        node: NodeId,
        /// The new disk.
        disk: DiskId,
    },
    /// Removes a member.
    Remove {
        /// The node of the member.
        node: NodeId,
    },
}

/// Why the members were not changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum ChangeError {
    /// This voter does not lead.
    #[display("this voter does not lead")]
    NotLeader {
        /// The leader, if it is known.
        leader: Option<NodeId>,
    },
    /// An earlier change is not complete.
    #[display("another change of the voters is under way")]
    Busy,
    /// The node is already a member with a disk that the change can't accept.
    #[display("{node} is a member with disk {disk}: remove it first")]
    AlreadyMember {
        /// The node.
        node: NodeId,
        /// The disk with which the node is a member.
        disk: DiskId,
    },
    /// The node is not a member.
    #[display("{node} is not a member")]
    NotMember {
        /// The node.
        node: NodeId,
    },
    /// The change would remove the last voter.
    #[display("{node} is the last voter")]
    LastVoter {
        /// The node of that voter.
        node: NodeId,
    },
    /// The group has the maximum number of members.
    #[display("a group has at most {max} members")]
    Full {
        /// The maximum number of members.
        max: usize,
    },
}

impl Voter {
    /// Appends a change of the members to the log if this voter leads.
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

    /// Makes a caught-up learner a voter, and steps down once this voter's own
    /// removal is committed.
    pub(crate) fn advance_membership(&mut self) {
        if let Some(group) = self.group_with_promotion() {
            self.append_group(group);
        }
        if !self.is_voter() && self.is_group_committed() {
            self.hand_over_leadership(self.now);
            self.become_follower(self.term, None);
        }
    }

    /// The current members, if a change may begin now.
    fn changeable_group(&self) -> Result<Group, ChangeError> {
        let leader = self.leader();
        let RoleState::Leader(state) = &self.state else {
            return Err(ChangeError::NotLeader { leader });
        };
        let group = self.group().cloned().unwrap_or_default();
        if !state.has_committed_own_term(self.commit) || !self.is_group_committed() {
            return Err(ChangeError::Busy);
        }
        Ok(group)
    }

    pub(crate) fn is_group_committed(&self) -> bool {
        let index = self.log.latest_group().map(|(index, _)| index);
        index.is_some_and(|index| index <= self.commit)
    }

    fn group_with_promotion(&self) -> Option<Group> {
        let mut group = self.changeable_group().ok()?;
        let RoleState::Leader(leader) = &self.state else {
            return None;
        };
        let caught_up_index = Index(
            self.log
                .last_position()
                .index
                .0
                .saturating_sub(MAX_LAG_TO_VOTE),
        );
        let learner = group.members.iter_mut().find(|(node, member)| {
            let progress = leader.progress.get(node);
            let caught_up = |p: &Progress| {
                p.trust == Trust::Trusted
                    && Index::default() < p.matched
                    && caught_up_index <= p.matched
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
