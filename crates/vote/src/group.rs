//! A group of voters and its members.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use base::DiskId;
use base::NodeId;

/// The id of a group: the number of the disk of the voter that formed it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("g{_0}")]
pub struct GroupId(pub u64);

/// Whether a member votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Duty {
    /// Receives the log but does not vote until it has caught up.
    Learner,
    /// Votes and counts towards a majority.
    Voter,
}

/// A member of a group, listed under its node. The node is a member only with this
/// disk, not with another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The member's disk.
    pub disk: DiskId,
    /// Whether the member votes.
    pub duty: Duty,
}

/// A group and its members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The id of the group, which never changes.
    pub id: GroupId,
    /// The members by node.
    #[serde(rename = "seats")]
    pub members: BTreeMap<NodeId, Member>,
}

impl Group {
    /// Whether this node with this disk is a member.
    pub fn contains(&self, node: NodeId, disk: DiskId) -> bool {
        self.members
            .get(&node)
            .is_some_and(|member| member.disk == disk)
    }

    /// Whether this node with this disk is a voter.
    pub fn has_voter(&self, node: NodeId, disk: DiskId) -> bool {
        self.contains(node, disk) && self.is_voter(node)
    }

    /// Whether this node is a voter, whatever its disk.
    pub fn is_voter(&self, node: NodeId) -> bool {
        let member = self.members.get(&node);
        member.is_some_and(|member| member.duty == Duty::Voter)
    }

    /// The nodes of all voters.
    pub fn voters(&self) -> impl Iterator<Item = NodeId> + '_ {
        let voters = self.members.iter().filter(|(_, s)| s.duty == Duty::Voter);
        voters.map(|(node, _)| *node)
    }

    /// The number of voters in a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The largest value that a majority of the voters has reached.
    pub fn majority_value<Value: Ord + Default>(&self, of: impl Fn(NodeId) -> Value) -> Value {
        let mut values: Vec<_> = self.voters().map(of).collect();
        values.sort_unstable();
        let at = values.len().checked_sub(self.quorum());
        at.map_or_else(Value::default, |at| values.swap_remove(at))
    }
}
