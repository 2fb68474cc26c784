//! The controller's records of replicas.

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
    /// The hosts were ordered to load.
    #[display("forming")]
    Forming,
    /// All hosts reported to be ready.
    #[display("serving")]
    Serving,
    /// The replica finishes its requests and gets no new ones.
    #[display("draining")]
    Draining,
    /// The replica failed, for example by the loss of a host. Its routes are being withdrawn.
    #[display("broken")]
    Broken,
    /// No entry node can route to the replica. Its hosts are being released.
    #[display("releasing")]
    Releasing,
}

/// Why a replica left its previous phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PhaseReason {
    /// A host stopped sending reports.
    #[display("{_0} is silent")]
    HostLost(HostId),
    /// A host restarted, or reports another assignment or none.
    #[display("{_0} says it does something else")]
    HostChanged(HostId),
    /// A host is about to leave.
    #[display("{_0} is leaving")]
    HostLeaving(HostId),
    /// A host is slow, and replacing it is worth the load.
    #[display("a host is slow")]
    HostSlow,
    /// An engine refused an order.
    #[display("{_0} refused an order")]
    OrderRefused(HostId),
    /// Loading took too long.
    #[display("loading took too long")]
    LoadTimeout,
    /// The model has another width now.
    #[display("its model has another width now")]
    Outdated,
    /// The model needs fewer replicas than it has.
    #[display("demand fell")]
    Surplus,
    /// A replacement serves, or is to be formed elsewhere to make room for a wider replica.
    #[display("moved")]
    Moved,
    /// The hosts are needed for a model that lacks promised replicas.
    #[display("preempted")]
    Preempted,
}

/// What a host's newest report means for its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostStanding {
    /// Ready in this replica, without a restart since it joined.
    Ready,
    /// Loading, or the order may not have arrived yet.
    Pending,
    /// Silent for too long.
    Lost,
    /// Restarted, or in another assignment or none.
    Changed,
}

/// The controller's record of one replica.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    /// The assignment that its hosts were ordered to take.
    pub assignment: Assignment,
    /// The domain of its hosts.
    pub domain: DomainId,
    /// The incarnations in which the hosts joined.
    pub incarnations: BTreeMap<HostId, Incarnation>,
    /// The hosts that have reported the replica's assignment.
    pub joined_hosts: BTreeSet<HostId>,
    pub phase: Phase,
    pub phase_since: Time,
    /// Why it last left a phase, if for a reason.
    pub reason: Option<PhaseReason>,
    /// The replica to be drained once this one serves.
    pub replaces: Option<ReplicaId>,
    /// Since when a draining replica has had no routes.
    pub unroutable_since: Option<Time>,
}

impl Replica {
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

    /// Changes the phase. Without a reason, the earlier one stays.
    pub fn enter_phase(&mut self, phase: Phase, reason: Option<PhaseReason>, now: Time) {
        self.phase = phase;
        self.phase_since = now;
        self.reason = reason.or(self.reason);
    }

    /// True if a host's newest report says that it is ready in exactly this replica, in
    /// the incarnation that joined, and not about to leave.
    pub fn is_confirmed_by(&self, host: &Host) -> bool {
        let report = &host.report;
        let is_ready =
            matches!(&report.duty, Duty::Ready(reported) if *reported == self.assignment);
        let incarnation = self.incarnations.get(&report.host);
        is_ready && !report.leaving && incarnation == Some(&report.incarnation)
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
            Duty::Idle if self.may_await_start(host.report.host, cfg, now) => HostStanding::Pending,
            _ => HostStanding::Changed,
        }
    }

    /// True while the order to a host or the host's report of it may not have arrived yet.
    fn may_await_start(&self, host: HostId, cfg: &Config, now: Time) -> bool {
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
/// It holds the low bits of three numbers. Fencing numbers grow by at least 256 a second,
/// so their low bits repeat after four years. The count starts anywhere and wraps around.
pub(crate) fn replica_id(centre: CentreId, fence: Fence, count: u64) -> ReplicaId {
    let centre = low_bits(u64::from(centre.0), CENTRE_BITS);
    let fence = low_bits(fence.0, FENCE_BITS);
    let count = low_bits(count, COUNT_BITS);
    ReplicaId(centre << (FENCE_BITS + COUNT_BITS) | fence << COUNT_BITS | count)
}

fn low_bits(number: u64, bits: u32) -> u64 {
    number & ((1 << bits) - 1)
}
