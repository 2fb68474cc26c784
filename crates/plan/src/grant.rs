//! What an entry node asks and what it is granted.
//!
//! A grant says only what changed since the one that the node last took, so
//! that an unchanged table costs a few bytes a poll however many routes it has.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use base::Assignment;
use base::CentreId;
use base::Fence;
use base::HostId;
use base::Incarnation;
use base::ModelName;
use base::NodeId;
use base::ReplicaId;

/// One grant, ordered by tenure and then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId {
    /// The tenure that granted it.
    pub fence: Fence,
    /// Its number within the tenure.
    pub sequence: u64,
}

/// An entry node asks for its routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutePoll {
    /// The node.
    pub node: NodeId,
    /// Its process's life.
    pub incarnation: Incarnation,
    /// Counts the polls of this life to this data centre.
    pub number: u64,
    /// The grant that the node last took, which acknowledges all that it withdrew.
    pub taken: Option<GrantId>,
}

/// A replica that may be routed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The replica.
    pub replica: ReplicaId,
    /// The fencing number of its assignment.
    pub fence: Fence,
    /// The model that it serves.
    pub model: ModelName,
    /// Its hosts in the order of their ranks.
    pub hosts: Vec<HostId>,
    /// Where the first of them takes requests.
    pub addr: SocketAddr,
}

/// A route that ends sooner than the grant's others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShortRoute {
    /// The replica.
    pub replica: ReplicaId,
    /// Valid this long from when the poll was sent.
    pub valid_for: Duration,
}

impl Route {
    /// True if this is the route to what a host says that it belongs to.
    pub(crate) fn is_of(&self, assignment: &Assignment) -> bool {
        self.replica == assignment.replica
            && self.fence == assignment.fence
            && self.model == assignment.model
            && self.hosts == assignment.hosts
    }
}

impl ShortRoute {
    /// A route that is valid this long.
    pub(crate) fn of(replica: ReplicaId, valid_for: Duration) -> Self {
        Self { replica, valid_for }
    }
}

/// The answer to one poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteGrant {
    /// The data centre.
    pub centre: CentreId,
    /// The grant.
    pub id: GrantId,
    /// The poll that it answers.
    pub poll: u64,
    /// The grant that it changes. `None` stands for an empty table.
    pub base: Option<GrantId>,
    /// Routes that the base has not.
    pub added: Vec<Route>,
    /// Routes of the base that are withdrawn.
    pub removed: Vec<ReplicaId>,
    /// All routes are valid this long from when the poll was sent.
    pub valid_for: Duration,
    /// All but these.
    pub shorter: Vec<ShortRoute>,
    /// All routes are valid this long from when the poll was sent, while the node
    /// itself hears every host confirm it.
    pub hold_for: Duration,
    /// A host's word counts for so long at the node.
    pub heard_within: Duration,
}
