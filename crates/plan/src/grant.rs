//! Messages between entry nodes and the controller: route polls and grants.
//!
//! A grant lists only the changes since the grant that the node last applied. A
//! poll of an unchanged table thus costs a few bytes, whatever its number of routes.

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

/// The id of one grant. Ids are ordered by tenure and then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId {
    /// The fencing number of the tenure that issued the grant.
    pub fence: Fence,
    /// The grant's number within the tenure.
    pub sequence: u64,
}

/// An entry node's request for its routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutePoll {
    /// The entry node.
    pub node: NodeId,
    /// The incarnation of the node's process.
    pub incarnation: Incarnation,
    /// Counts the polls of this incarnation to this data centre.
    pub number: u64,
    /// The grant that the node last applied. Acknowledges the routes that it removed.
    pub taken: Option<GrantId>,
}

/// A replica that an entry node may route requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The replica.
    pub replica: ReplicaId,
    /// The fencing number of the replica's assignment.
    pub fence: Fence,
    /// The model that the replica serves.
    pub model: ModelName,
    /// The replica's hosts in rank order.
    pub hosts: Vec<HostId>,
    /// Where the first host takes requests.
    pub addr: SocketAddr,
}

/// A route that ends before the grant's other routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShortRoute {
    /// The replica.
    pub replica: ReplicaId,
    /// The validity of the route, from when the poll was sent.
    pub valid_for: Duration,
}

impl Route {
    /// True if this is the route to a host's reported assignment.
    pub(crate) fn matches_assignment(&self, assignment: &Assignment) -> bool {
        self.replica == assignment.replica
            && self.fence == assignment.fence
            && self.model == assignment.model
            && self.hosts == assignment.hosts
    }
}

impl ShortRoute {
    /// A route with its validity.
    pub(crate) fn new(replica: ReplicaId, valid_for: Duration) -> Self {
        Self { replica, valid_for }
    }
}

/// The answer to one poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteGrant {
    /// The data centre.
    pub centre: CentreId,
    /// The id of this grant.
    pub id: GrantId,
    /// The number of the poll that this grant answers.
    pub poll: u64,
    /// The earlier grant that this one changes. `None` stands for an empty table.
    pub base: Option<GrantId>,
    /// Routes that the base lacks.
    pub added: Vec<Route>,
    /// Replicas whose routes in the base are withdrawn.
    pub removed: Vec<ReplicaId>,
    /// The validity of all routes, from when the poll was sent.
    pub valid_for: Duration,
    /// The routes that are valid for less than `valid_for`.
    pub shorter: Vec<ShortRoute>,
    /// The validity of all routes, from when the poll was sent, while the node itself
    /// receives confirming reports from all their hosts.
    pub hold_for: Duration,
    /// How long a host's report counts as a confirmation at the node.
    pub heard_within: Duration,
}
