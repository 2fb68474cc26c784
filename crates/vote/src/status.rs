//! What a voter says of itself and of the others.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Duty;
use crate::GroupId;
use crate::Index;
use crate::Rejection;
use crate::Term;
use crate::Voter;
use crate::form::LastSeen;
use crate::role::State;
use base::DiskId;
use base::NodeId;

/// How long a node counts as wanting to take part after it last said so.
const NON_MEMBER_SHOWN_FOR: Duration = Duration::from_secs(10);

/// What a voter does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Follows a leader, or waits for one.
    #[display("follower")]
    Follower,
    /// Asks for votes.
    #[display("candidate")]
    Candidate,
    /// Leads.
    #[display("leader")]
    Leader,
}

/// Whether a disk holds all that it acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trust {
    /// Nothing speaks against it.
    #[display("trusted")]
    Trusted,
    /// It lost what it had acknowledged. It does not count any more.
    #[display("distrusted")]
    Distrusted,
}

/// What a node is in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Its disk is empty and it has met no group.
    Fresh,
    /// It counts.
    Voter,
    /// It receives the log and does not count yet.
    Learner,
    /// A group exists that it does not belong to.
    NotMember,
    /// Its disk has lost what the node had acknowledged: it is empty, or an older
    /// copy. An operator must replace this voter.
    Lost,
    /// Its group goes on with another disk in its place.
    Replaced,
}

/// What is known of another member. Only a leader knows more than its seat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The node.
    pub node: NodeId,
    /// Its disk.
    pub disk: DiskId,
    /// What it does.
    pub duty: Duty,
    /// How far its log equals the leader's.
    pub matched: Index,
    /// How long ago the leader sent what it last answered, or began to lead if it has
    /// answered nothing since.
    pub silent: Option<Duration>,
    /// Whether its disk is trusted.
    pub trust: Trust,
}

/// A node without a seat that wants to take part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NonMember {
    /// The node.
    pub node: NodeId,
    /// Its disk.
    pub disk: DiskId,
}

/// What a voter says of itself and of the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// What it is in the group.
    pub standing: Standing,
    /// The group.
    pub group: Option<GroupId>,
    /// What it does.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader it knows of.
    pub leader: Option<NodeId>,
    /// Its last entry.
    pub last: Index,
    /// The last committed entry it knows of.
    pub commit: Index,
    /// How long its oldest write has been waiting for the disk.
    pub disk_wait: Duration,
    /// All members but itself.
    pub peers: Vec<Peer>,
    /// Nodes that want to become members.
    #[serde(rename = "strangers")]
    pub non_members: Vec<NonMember>,
}

impl Voter {
    /// What it says of itself and of the others.
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
        }
    }

    /// What this node is in its group.
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

    /// What this node does at present.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Follower { .. } => Role::Follower,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// The leader it knows of.
    pub fn leader(&self) -> Option<NodeId> {
        match &self.state {
            State::Follower { leader } => *leader,
            State::Candidate(_) => None,
            State::Leader(_) => Some(self.cfg.id),
        }
    }

    fn non_members(&self) -> Vec<NonMember> {
        let fresh = |seen: &&LastSeen| self.now.since(seen.at) < NON_MEMBER_SHOWN_FOR;
        let seen = self.non_members.iter().filter(|(_, seen)| fresh(seen));
        seen.map(|(node, seen)| NonMember {
            node: *node,
            disk: seen.disk,
        })
        .collect()
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
            let leads = match &self.state {
                State::Leader(leader) => Some(leader),
                State::Follower { .. } | State::Candidate(_) => None,
            };
            let progress = leads.and_then(|leader| leader.progress.get(node));
            let since = leads.map_or(self.now, |leader| leader.elected_at);
            Peer {
                node: *node,
                disk: member.disk,
                duty: member.duty,
                matched: progress.map(|p| p.matched).unwrap_or_default(),
                silent: progress.map(|p| self.now.since(p.last_answered.sent.max(since))),
                trust: progress.map_or(Trust::Trusted, |p| p.trust),
            }
        };
        others.map(peer).collect()
    }
}
