//! The status of a voter and of the members it knows.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Duty;
use crate::GroupId;
use crate::Index;
use crate::Rejection;
use crate::SilentMember;
use crate::Term;
use crate::Voter;
use crate::form::LastSeen;
use crate::role::Leader;
use crate::role::RoleState;
use base::DiskId;
use base::NodeId;

/// How long a node outside the group is shown after it last said hello.
const NON_MEMBER_SHOWN_FOR: Duration = Duration::from_secs(3);

/// How long a new leader gives its members to answer, whatever the leader before it
/// told of them.
const FIRST_ANSWER_TIME: Duration = Duration::from_millis(500);

/// The present role of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Follows a leader or waits for one.
    #[display("follower")]
    Follower,
    /// Asks for votes.
    #[display("candidate")]
    Candidate,
    /// Leads.
    #[display("leader")]
    Leader,
}

/// Whether a disk still holds all that it acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trust {
    /// The disk is not known to have lost anything.
    #[display("trusted")]
    Trusted,
    /// The disk lost entries it had acknowledged, so it counts towards no majority.
    #[display("distrusted")]
    Distrusted,
}

/// How a node takes part in its group, or why it does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// The node has an empty disk and knows of no group.
    Fresh,
    /// The node is a voter.
    Voter,
    /// The node receives the log and does not vote yet.
    Learner,
    /// A group exists and the node is not a member.
    NotMember,
    /// The node's disk has lost entries that it had acknowledged: it is empty or an
    /// older copy. An operator must replace this voter.
    Lost,
    /// The node is a member, but with another disk in place of this one.
    Replaced,
}

/// Another member of the group. Only the leader knows more than its disk and duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The member's node.
    pub node: NodeId,
    /// The member's disk.
    pub disk: DiskId,
    /// Whether the member votes.
    pub duty: Duty,
    /// The member's log equals the leader's up to this index.
    pub matched: Index,
    /// How long ago the leader sent the message that the member last answered. If the
    /// member has answered none, how long it has been a member, or silent to the leader
    /// before.
    pub silent: Option<Duration>,
    /// Whether the member's disk is trusted.
    pub trust: Trust,
}

/// A node outside the group that asks to join.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NonMember {
    /// The node.
    pub node: NodeId,
    /// The disk of the node.
    pub disk: DiskId,
}

/// The status of a voter and of the members it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// How this node takes part in its group, or why it does not.
    pub standing: Standing,
    /// The group, if the node belongs to one.
    pub group: Option<GroupId>,
    /// The voter's role.
    pub role: Role,
    /// The voter's term.
    pub term: Term,
    /// The leader, if the voter knows one.
    pub leader: Option<NodeId>,
    /// The index of the last entry in the voter's log.
    pub last: Index,
    /// The index of the last entry that the voter knows to be committed.
    pub commit: Index,
    /// How long the voter's oldest write has been waiting for the disk.
    pub disk_wait: Duration,
    /// All other members.
    pub peers: Vec<Peer>,
    /// Nodes outside the group that ask to join, the one that last asked first.
    #[serde(rename = "strangers")]
    pub non_members: Vec<NonMember>,
    /// How long this voter has led the present members.
    #[serde(default)]
    pub members_for: Duration,
    /// The members that are about to stop, if this voter leads.
    #[serde(default)]
    pub leaving: BTreeSet<NodeId>,
}

impl Voter {
    /// The status of this voter and of the members it knows.
    pub fn status(&self) -> Status {
        let oldest_write_since = self.outbox.oldest_write_since();
        Status {
            standing: self.standing(),
            group: self.group_id,
            role: self.role(),
            term: self.term,
            leader: self.leader(),
            last: self.log.last_position().index,
            commit: self.commit,
            disk_wait: oldest_write_since.map_or(Duration::ZERO, |since| self.now.since(since)),
            peers: self.peers(),
            non_members: self.non_members(),
            members_for: self.members_for(),
            leaving: self.leaving_members(),
        }
    }

    /// How this node takes part in its group, or why it does not.
    pub fn standing(&self) -> Standing {
        if self.trust == Trust::Distrusted {
            return Standing::Lost;
        }
        match self.rejection {
            Some(Rejection::NotMember) => return Standing::NotMember,
            Some(Rejection::OtherDisk(_)) if self.group_id.is_some() => return Standing::Replaced,
            Some(Rejection::OtherDisk(_) | Rejection::RolledBack(_)) => return Standing::Lost,
            None => {}
        }
        let member = self.group().and_then(|g| g.members.get(&self.cfg.id));
        match member {
            Some(member) if member.disk != self.cfg.disk => Standing::Replaced,
            Some(member) if member.duty == Duty::Voter => Standing::Voter,
            Some(_) => Standing::Learner,
            None if self.group().is_some() => Standing::NotMember,
            None if self.group_id.is_some() => Standing::Learner,
            None => Standing::Fresh,
        }
    }

    /// The present role of this voter.
    pub fn role(&self) -> Role {
        match &self.state {
            RoleState::Follower { .. } => Role::Follower,
            RoleState::Candidate(_) => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// The leader, if this voter knows one.
    pub fn leader(&self) -> Option<NodeId> {
        match &self.state {
            RoleState::Follower { leader } => *leader,
            RoleState::Candidate(_) => None,
            RoleState::Leader(_) => Some(self.cfg.id),
        }
    }

    fn non_members(&self) -> Vec<NonMember> {
        let is_recent = |seen: &&LastSeen| self.now.since(seen.at) < NON_MEMBER_SHOWN_FOR;
        let seen = self.non_members.iter().filter(|(_, seen)| is_recent(seen));
        let mut seen: Vec<_> = seen.collect();
        seen.sort_by_key(|(_, seen)| Reverse(seen.at));
        let non_members = seen.into_iter().map(|(node, seen)| NonMember {
            node: *node,
            disk: seen.disk,
        });
        non_members.collect()
    }

    fn peers(&self) -> Vec<Peer> {
        let Some(group) = self.group() else {
            return Vec::new();
        };
        let others = group
            .members
            .iter()
            .filter(|(node, _)| **node != self.cfg.id);
        let peer = |(node, member): (&NodeId, &crate::Member)| {
            let leader_state = match &self.state {
                RoleState::Leader(leader) => Some(leader),
                RoleState::Follower { .. } | RoleState::Candidate(_) => None,
            };
            let progress = leader_state.and_then(|leader| leader.progress.get(node));
            Peer {
                node: *node,
                disk: member.disk,
                duty: member.duty,
                matched: progress.map(|p| p.matched).unwrap_or_default(),
                silent: leader_state.and_then(|leader| self.silence(leader, *node)),
                trust: progress.map_or(Trust::Trusted, |p| p.trust),
            }
        };
        others.map(peer).collect()
    }

    fn members_for(&self) -> Duration {
        match &self.state {
            RoleState::Leader(leader) => self.now.since(leader.members_since),
            RoleState::Follower { .. } | RoleState::Candidate(_) => Duration::ZERO,
        }
    }

    /// How long a member has been silent, if this voter leads.
    fn silence(&self, leader: &Leader, node: NodeId) -> Option<Duration> {
        let since = leader.progress.get(&node)?.silent_since();
        let is_new = self.now < leader.elected_at + FIRST_ANSWER_TIME;
        let since = if is_new {
            since.max(leader.elected_at)
        } else {
            since
        };
        Some(self.now.since(since))
    }

    /// The members that have not answered for so long that the next leader should know.
    pub(crate) fn silent_members(&self) -> Vec<SilentMember> {
        let RoleState::Leader(leader) = &self.state else {
            return Vec::new();
        };
        let silent = leader.progress.iter().map(|(node, progress)| {
            let silence = self.now.since(progress.silent_since());
            (*node, silence)
        });
        let silent = silent.filter(|(_, silence)| self.cfg.timing.election_timeout_min <= *silence);
        let silent = silent.map(|(node, silence)| SilentMember {
            node,
            silent_ms: silence.as_millis() as u64,
        });
        silent.collect()
    }
}
