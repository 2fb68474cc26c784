//! What the planner sees and what it decides.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::DomainId;
use base::HostId;
use base::ModelName;
use base::ReplicaId;

/// The hosts and replicas of one data centre.
#[derive(Clone, Debug, Default)]
pub struct PlannerView {
    /// Hosts that may join a replica now, by domain.
    pub free: BTreeMap<DomainId, Vec<HostId>>,
    /// Hosts that will be free soon, by domain: their replica is being released.
    pub coming_free: BTreeMap<DomainId, usize>,
    /// Replicas that count towards demand.
    pub replicas: Vec<PlacedReplica>,
    /// Domains in which a model lately lost a replica. It goes back there first.
    pub preferred_domains: BTreeMap<ModelName, BTreeSet<DomainId>>,
}

/// A replica that stands in a domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedReplica {
    /// The replica.
    pub replica: ReplicaId,
    /// The model.
    pub model: ModelName,
    /// The domain of its hosts.
    pub domain: DomainId,
    /// Its hosts, by number.
    pub width: usize,
    /// What may be done with it.
    pub state: PlacedState,
}

/// What the planner may do with a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacedState {
    /// It is not ready yet, or is being replaced, and stays where it is.
    Fixed,
    /// It serves, and may be moved.
    Movable,
    /// It serves with a width that its model no longer has.
    Outdated,
    /// It serves with this many slow hosts. Spares may take their place.
    Slow(usize),
}

/// A replica to form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Form {
    /// The model.
    pub model: ModelName,
    /// The domain.
    pub domain: DomainId,
    /// Its hosts in the order of their ranks.
    pub hosts: Vec<HostId>,
    /// The serving replica that it replaces once it serves itself.
    pub replaces: Option<ReplicaId>,
}

/// A replica to form elsewhere so that its hosts complete a wider one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The copy.
    pub form: Form,
    /// The model that lacks hosts.
    pub for_model: ModelName,
}

/// A replica to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// The replica.
    pub replica: ReplicaId,
    /// Why.
    pub reason: DrainReason,
}

/// Why a replica is to end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainReason {
    /// The model has more replicas than its target.
    Surplus,
    /// This model lacks a promised replica, and the replica's own has more than its promise.
    Preempted(ModelName),
    /// This model lacks few hosts in its domain, and it fits elsewhere. Its own
    /// model has others that serve meanwhile.
    Relocated(ModelName),
    /// Its model has another width now, and its hosts make room for that.
    Outdated,
    /// A host of it is slow and spares stand ready in its domain.
    Slow,
}

/// What to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Replicas to form, the most needed first.
    pub forms: Vec<Form>,
    /// Replicas to move, the most useful first.
    pub moves: Vec<Move>,
    /// Replicas to end.
    pub drains: Vec<Drain>,
    /// Replicas of each model that wait for hosts that are being released.
    pub awaiting: BTreeMap<ModelName, usize>,
    /// Replicas of each model that found no place.
    pub unplaced: BTreeMap<ModelName, usize>,
}

impl Plan {
    /// True if a replica in demand lacks hosts now.
    pub fn lacks_hosts(&self) -> bool {
        !self.awaiting.is_empty() || !self.unplaced.is_empty()
    }
}
