//! A replica as its controller knows it.

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

/// Where a replica is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Its hosts were ordered to load.
    #[display("forming")]
    Forming,
    /// Every host said that it is ready.
    #[display("serving")]
    Serving,
    /// Gets no new work and finishes what it has.
    #[display("draining")]
    Draining,
    /// Lost a host. Its routes are being withdrawn.
    #[display("broken")]
    Broken,
    /// No entry node can route to it. Its hosts are being released.
    #[display("releasing")]
    Releasing,
}

/// Why a replica left its former phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A host fell silent.
    #[display("{_0} is silent")]
    HostLost(HostId),
    /// A host restarted, or says that it does something else.
    #[display("{_0} says it does something else")]
    HostChanged(HostId),
    /// A host is about to leave.
    #[display("{_0} is leaving")]
    HostLeaving(HostId),
    /// A host is slow and a replacement serves more.
    #[display("a host is slow")]
    HostSlow,
    /// An engine refused an order.
    #[display("{_0} refused an order")]
    OrderRefused(HostId),
    /// Loading took too long.
    #[display("loading took too long")]
    LoadTimeout,
    /// Its model has another width now.
    #[display("its model has another width now")]
    Outdated,
    /// Demand fell.
    #[display("demand fell")]
    Surplus,
    /// A copy of it serves in another domain.
    #[display("moved")]
    Moved,
    /// Its hosts are needed for a model that lacks its promised replicas.
    #[display("preempted")]
    Preempted,
}

/// What a host's word means for its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostStanding {
    /// Ready in this replica, in the same life.
    Ready,
    /// On its way.
    Pending,
    /// Silent for too long.
    Lost,
    /// Restarted, or does something else.
    Changed,
}

/// One replica in the controller's books.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    /// What its hosts were ordered.
    pub assignment: Assignment,
    /// The domain of its hosts.
    pub domain: DomainId,
    /// The lives in which its hosts took part.
    pub incarnations: BTreeMap<HostId, Incarnation>,
    /// Hosts that have said that they belong to it.
    pub joined_hosts: BTreeSet<HostId>,
    /// Where it is in its life.
    pub phase: Phase,
    /// Since when.
    pub phase_since: Time,
    /// Why it left its former phase.
    pub reason: Option<Reason>,
    /// The replica that it will replace once it serves.
    pub replaces: Option<ReplicaId>,
    /// Since when no entry node can route to it.
    pub unroutable_since: Option<Time>,
}

impl Replica {
    /// The id.
    pub fn id(&self) -> ReplicaId {
        self.assignment.replica
    }

    /// True if its hosts are expected to come free soon.
    pub fn will_free_hosts_soon(&self, cfg: &Config, now: Time) -> bool {
        match self.phase {
            Phase::Broken | Phase::Releasing => true,
            Phase::Draining => now < self.phase_since + cfg.expected_drain_time,
            Phase::Forming | Phase::Serving => false,
        }
    }

    /// Takes a further step of its life.
    pub fn enter_phase(&mut self, phase: Phase, why: Option<Reason>, now: Time) {
        self.phase = phase;
        self.phase_since = now;
        self.reason = why.or(self.reason);
    }

    /// True if a host's newest report says that it is ready in just this replica,
    /// in the life in which it joined, and not about to leave.
    pub fn is_confirmed_by(&self, host: &Host) -> bool {
        let report = &host.report;
        let is_ready = matches!(&report.duty, Duty::Ready(found) if *found == self.assignment);
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
            Duty::Ready(found) if *found == self.assignment => HostStanding::Ready,
            Duty::Loading(found) if *found == self.assignment => HostStanding::Pending,
            Duty::Idle if self.may_still_start(host.report.host, cfg, now) => HostStanding::Pending,
            _ => HostStanding::Changed,
        }
    }

    /// True while the order to form may not have reached a host, or its word not us.
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
/// Fencing numbers grow by 256 a second at least, so their low bits come back
/// after four years. The count starts anywhere and goes round within a tenure.
pub(crate) fn replica_id(centre: CentreId, fence: Fence, count: u64) -> ReplicaId {
    let centre = low_bits(u64::from(centre.0), CENTRE_BITS);
    let fence = low_bits(fence.0, FENCE_BITS);
    let count = low_bits(count, COUNT_BITS);
    ReplicaId(centre << (FENCE_BITS + COUNT_BITS) | fence << COUNT_BITS | count)
}

fn low_bits(number: u64, bits: u32) -> u64 {
    number & ((1 << bits) - 1)
}
