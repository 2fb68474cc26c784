//! What an operator sees of the replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Controller;
use crate::Phase;
use crate::Reason;
use crate::Stranded;
use crate::replica::Replica;
use base::DomainId;
use base::Fence;
use base::HostId;
use base::ModelName;
use base::ReplicaId;
use base::Time;

/// The replicas of one data centre, as its controller knows them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The tenure, if this process holds it.
    pub fence: Option<Fence>,
    /// True once it may order.
    pub settled: bool,
    /// Hosts heard lately.
    pub hosts: usize,
    /// The replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// Healthy hosts that belong to no replica, and why.
    pub stranded: Vec<Stranded>,
    /// Replicas of each model that wait for hosts that are being released.
    pub awaiting: BTreeMap<ModelName, usize>,
    /// Replicas of each model that are needed and found no place.
    pub unplaced: BTreeMap<ModelName, usize>,
}

/// One replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica.
    pub replica: ReplicaId,
    /// The fencing number of its assignment.
    pub fence: Fence,
    /// Its model.
    pub model: ModelName,
    /// Its domain.
    pub domain: DomainId,
    /// Its hosts in the order of their ranks.
    pub hosts: Vec<HostId>,
    /// Where it is in its life.
    pub phase: Phase,
    /// For how long.
    pub for_long: Duration,
    /// Why it is there, if something happened to it.
    pub why: Option<Reason>,
}

impl Controller {
    /// What an operator sees.
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
