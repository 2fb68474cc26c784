//! The status of a data centre's replicas, for operators.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Controller;
use crate::Phase;
use crate::PhaseReason;
use crate::StrandedHost;
use crate::replica::Replica;
use base::DomainId;
use base::Fence;
use base::HostId;
use base::ModelName;
use base::ReplicaId;
use base::Time;

/// The status of one data centre, as its controller knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The fencing number, if this process holds the tenure.
    pub fence: Option<Fence>,
    /// True once the controller may issue orders.
    pub settled: bool,
    /// The number of hosts with a recent report.
    pub hosts: usize,
    /// All replicas that the controller knows.
    pub replicas: Vec<ReplicaStatus>,
    /// Healthy hosts that belong to no replica, and why.
    pub stranded: Vec<StrandedHost>,
    /// Replicas of each model that wait for hosts that will be free soon.
    pub awaiting: BTreeMap<ModelName, usize>,
    /// Needed replicas of each model for which no domain has enough hosts.
    pub unplaced: BTreeMap<ModelName, usize>,
}

/// The status of one replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica.
    pub replica: ReplicaId,
    /// The fencing number of the replica's assignment.
    pub fence: Fence,
    /// The model that the replica serves.
    pub model: ModelName,
    /// The domain of the replica's hosts.
    pub domain: DomainId,
    /// The replica's hosts in rank order.
    pub hosts: Vec<HostId>,
    /// The phase that the replica is in.
    pub phase: Phase,
    /// How long the replica has been in its phase.
    pub for_long: Duration,
    /// Why the replica is in its phase, if something happened to it.
    pub why: Option<PhaseReason>,
}

impl Controller {
    /// The status that operators are shown.
    pub fn status(&self, now: Time) -> Status {
        let is_fresh = |host: &&crate::host::Host| host.is_fresh(&self.cfg, now);
        Status {
            fence: self.holds_tenure(now).then(|| self.fence()),
            settled: self.is_settled(now),
            hosts: self.hosts.values().filter(is_fresh).count(),
            replicas: self
                .replicas
                .values()
                .map(|r| replica_status(r, now))
                .collect(),
            stranded: self.stranded_hosts(now),
            awaiting: self.plan.awaiting.clone(),
            unplaced: self.plan.unplaced.clone(),
        }
    }
}

fn replica_status(replica: &Replica, now: Time) -> ReplicaStatus {
    ReplicaStatus {
        replica: replica.id(),
        fence: replica.assignment.fence,
        model: replica.assignment.model.clone(),
        domain: replica.domain,
        hosts: replica.assignment.hosts.clone(),
        phase: replica.phase,
        for_long: now.since(replica.phase_since),
        why: replica.reason,
    }
}
