//! The input and the output of the planner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::DomainId;
use base::HostId;
use base::ModelName;
use base::ReplicaId;

/// The hosts and replicas of one data centre, as input of the planner.
#[derive(Clone, Debug, Default)]
pub struct PlannerView {
    /// Hosts that may join a replica now, by domain.
    pub free: BTreeMap<DomainId, Vec<HostId>>,
    /// Hosts that will be free soon, by domain: their replica is ending.
    pub coming_free: BTreeMap<DomainId, usize>,
    /// Replicas that count towards demand.
    pub replicas: Vec<PlacedReplica>,
    /// Domains in which a model recently lost a replica. A new one goes there first.
    pub preferred_domains: BTreeMap<ModelName, BTreeSet<DomainId>>,
}

/// A replica that is forming or serving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedReplica {
    /// The replica.
    pub replica: ReplicaId,
    /// The model that the replica serves.
    pub model: ModelName,
    /// The domain of the replica's hosts.
    pub domain: DomainId,
    /// The number of its hosts.
    pub width: usize,
    /// What the planner may do with the replica.
    pub state: PlacedState,
}

/// What the planner may do with a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacedState {
    /// Not ready yet or being replaced, so it can't be moved.
    Fixed,
    /// Serving, and may be moved.
    Movable,
    /// Serving with a width that its model no longer has.
    Outdated,
    /// Serving with this many slow hosts, which spares may replace.
    Slow(usize),
}

/// A replica to form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Form {
    /// The model to load.
    pub model: ModelName,
    /// The domain of the hosts.
    pub domain: DomainId,
    /// The hosts in rank order.
    pub hosts: Vec<HostId>,
    /// A serving replica that is drained once the new one serves.
    pub replaces: Option<ReplicaId>,
}

/// A replica to form elsewhere, so that the original's hosts become free for a wider one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The replacement.
    pub form: Form,
    /// The model of the wider replica.
    pub for_model: ModelName,
}

/// A replica to drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// The replica.
    pub replica: ReplicaId,
    /// Why the replica is drained.
    pub reason: DrainReason,
}

/// Why a replica is to be drained.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainReason {
    /// The model has more replicas than its target.
    Surplus,
    /// This model lacks a promised replica, and the drained one's has more than promised.
    Preempted(ModelName),
    /// This model lacks a few hosts in the domain. The drained replica fits elsewhere, and
    /// its own model has others that serve meanwhile.
    Relocated(ModelName),
    /// The model has another width now, and the hosts are needed for that.
    Outdated,
    /// A host is slow, and the domain has spares.
    Slow,
}

/// The changes that the planner wants.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Replicas to form, the most needed first.
    pub forms: Vec<Form>,
    /// Replicas to move, the most useful first.
    pub moves: Vec<Move>,
    /// Replicas to drain.
    pub drains: Vec<Drain>,
    /// Replicas of each model that wait for hosts that will be free soon.
    pub awaiting: BTreeMap<ModelName, usize>,
    /// Replicas of each model for which no domain has enough hosts.
    pub unplaced: BTreeMap<ModelName, usize>,
}

impl Plan {
    /// True if a needed replica lacks hosts now.
    pub fn lacks_hosts(&self) -> bool {
        !self.awaiting.is_empty() || !self.unplaced.is_empty()
    }
}
