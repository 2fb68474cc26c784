//! The controller's record of one replica.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Config;
use crate::host::Host;
use base::Assignment;
use base::CentreId;
use base::DomainId;
use base::Duty;
use base::Fence;
use base::HostId;
use base::Incarnation;
use base::ReplicaId;
use base::Time;

/// The phase that a replica is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The replica's hosts were ordered to load the model.
    #[display("forming")]
    Forming,
    /// All hosts reported that they are ready.
    #[display("serving")]
    Serving,
    /// The replica gets no new requests and finishes those it has.
    #[display("draining")]
    Draining,
    /// The replica can't serve any more, for example because it lost a host. Its routes are
    /// withdrawn.
    #[display("broken")]
    Broken,
    /// No entry node can route to the replica any more. Its hosts are being released.
    #[display("releasing")]
    Releasing,
}

/// Why a replica left its previous phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A host stopped sending reports.
    #[display("{_0} is silent")]
    HostLost(HostId),
    /// A host restarted, or reports another assignment or none.
    #[display("{_0} says it does something else")]
    HostChanged(HostId),
    /// A host is about to leave.
    #[display("{_0} is leaving")]
    HostLeaving(HostId),
    /// A host is slow, and replacing the replica is worth the load.
    #[display("a host is slow")]
    HostSlow,
    /// An engine refused an order.
    #[display("{_0} refused an order")]
    OrderRefused(HostId),
    /// The replica was not ready within the load timeout.
    #[display("loading took too long")]
    LoadTimeout,
    /// The replica's model has another width now.
    #[display("its model has another width now")]
    Outdated,
    /// The model needs fewer replicas than it has.
    #[display("demand fell")]
    Surplus,
    /// A replacement of the replica serves, or its hosts are needed for a wider replica and
    /// its model is to get a replica elsewhere.
    #[display("moved")]
    Moved,
    /// The replica's hosts are needed for a model that lacks promised replicas.
    #[display("preempted")]
    Preempted,
}

/// What a host's newest report means for the replica that the host is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostStanding {
    /// The host is ready in this replica and has not restarted since it joined.
    Ready,
    /// The host is loading, or the order to load may not have reached it yet.
    Pending,
    /// The host has sent no report for too long.
    Lost,
    /// The host restarted, or reports another assignment or none.
    Changed,
}

/// The controller's record of one replica.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    /// The assignment that its hosts were ordered to take.
    pub assignment: Assignment,
    /// The domain of its hosts.
    pub domain: DomainId,
    /// The incarnations of its hosts when they joined.
    pub incarnations: BTreeMap<HostId, Incarnation>,
    /// The hosts that have reported the replica's assignment.
    pub joined_hosts: BTreeSet<HostId>,
    /// The phase that the replica is in.
    pub phase: Phase,
    /// When the replica entered its phase.
    pub phase_since: Time,
    /// Why the replica left its previous phase, or the last phase that it left for a reason.
    pub reason: Option<Reason>,
    /// The replica to be drained once this one serves.
    pub replaces: Option<ReplicaId>,
    /// When it was first seen that no entry node can route to this draining replica.
    pub unroutable_since: Option<Time>,
}

impl Replica {
    /// The id of the replica.
    pub fn id(&self) -> ReplicaId {
        self.assignment.replica
    }

    /// True if the replica's hosts are expected to become free soon.
    pub fn will_free_hosts_soon(&self, cfg: &Config, now: Time) -> bool {
        match self.phase {
            Phase::Broken | Phase::Releasing => true,
            Phase::Draining => now < self.phase_since + cfg.expected_drain_time,
            Phase::Forming | Phase::Serving => false,
        }
    }

    /// Moves the replica to another phase. Without a reason, the earlier reason stays.
    pub fn enter_phase(&mut self, phase: Phase, reason: Option<Reason>, now: Time) {
        self.phase = phase;
        self.phase_since = now;
        self.reason = reason.or(self.reason);
    }

    /// True if a host's newest report says that it is ready in exactly this assignment,
    /// is of the incarnation that joined, and isn't about to leave.
    pub fn is_confirmed_by(&self, host: &Host) -> bool {
        let report = &host.report;
        let is_ready =
            matches!(&report.duty, Duty::Ready(reported) if *reported == self.assignment);
        let life = self.incarnations.get(&report.host);
        is_ready && !report.leaving && life == Some(&report.incarnation)
    }

    /// What a host's newest report means for this replica.
    pub fn host_standing(&self, host: &Host, cfg: &Config, now: Time) -> HostStanding {
        if host.is_lost(cfg, now) {
            return HostStanding::Lost;
        }
        if self.incarnations.get(&host.report.host) != Some(&host.report.incarnation) {
            return HostStanding::Changed;
        }
        match &host.report.duty {
            Duty::Ready(reported) if *reported == self.assignment => HostStanding::Ready,
            Duty::Loading(reported) if *reported == self.assignment => HostStanding::Pending,
            Duty::Idle if self.may_still_start(host.report.host, cfg, now) => HostStanding::Pending,
            _ => HostStanding::Changed,
        }
    }

    /// True while the order to form may not have reached a host yet, or the host's report
    /// of it may not have reached the controller.
    fn may_still_start(&self, host: HostId, cfg: &Config, now: Time) -> bool {
        self.phase == Phase::Forming
            && !self.joined_hosts.contains(&host)
            && now < self.phase_since + cfg.max_order_delay + cfg.report_validity
    }
}

const CENTRE_BITS: u32 = 10;
const FENCE_BITS: u32 = 35;
const COUNT_BITS: u32 = 19;

/// The id of a replica, unique over all data centres.
///
/// The id holds the low bits of the data centre's number, the fencing number and a
/// count. Fencing numbers grow by at least 256 a second, so their low bits repeat after
/// four years. The count starts at any number and wraps around within a tenure.
pub(crate) fn replica_id(centre: CentreId, fence: Fence, count: u64) -> ReplicaId {
    let centre = low_bits(u64::from(centre.0), CENTRE_BITS);
    let fence = low_bits(fence.0, FENCE_BITS);
    let count = low_bits(count, COUNT_BITS);
    ReplicaId(centre << (FENCE_BITS + COUNT_BITS) | fence << COUNT_BITS | count)
}

fn low_bits(number: u64, bits: u32) -> u64 {
    number & ((1 << bits) - 1)
}
