//! Which way an entry host connects to upstreams: directly, or through another entry host.
//!
//! An entry host may be cut off from upstreams that others reach. What it can't tell by itself is
//! whether an upstream is gone or only out of its reach, so it asks another entry host to connect
//! in its place. Until connections are known to fail, each begins directly, and a second one
//! through another entry host follows only if that takes long. This decides under a normal load
//! of requests while the paths of this host fail.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;

use base::NodeId;
use base::ServiceName;
use base::Time;
use base::UpstreamId;

/// A direct connection that takes longer is tried through another entry host too. Far longer
/// than a handshake takes between data centres.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// The same while this host doubts that it reaches the service at all.
const SUSPECT_HEDGE_DELAY: Duration = Duration::from_millis(30);

/// Addresses of a service that must fail one after the other before it is in doubt.
const MIN_FAILED_ADDRS: usize = 2;

/// How long no direct connection to a service may have worked before it is in doubt. A few processes
/// may be gone while others answer all the time.
const MIN_SILENCE: Duration = Duration::from_millis(150);

/// Time from the loss of a direct path to its first probe. Doubles up to [`MAX_PROBE_DELAY`].
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(500);

/// The longest time between two probes of a direct path.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(4);

/// The shortest time between two probes of any direct paths.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// The way of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ConnectPath {
    /// Straight to the upstream.
    #[display("direct")]
    Direct,
    /// Through another entry host.
    #[display("through {_0}")]
    Through(NodeId),
}

/// How to connect to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectPlan {
    /// Directly, and through another entry host if that fails or takes longer than this.
    DirectFirst {
        /// When to begin the second way.
        hedge_after: Duration,
    },
    /// Through another entry host, and directly if that fails.
    ThroughFirst,
}

/// What is known of the direct paths to a service.
#[derive(Clone, Debug, Default)]
struct ServicePaths {
    /// Addresses at which direct connections failed since one of the service last worked, each with
    /// a process that says it is there.
    failed: BTreeMap<SocketAddr, UpstreamId>,
    /// When a direct connection last worked.
    worked_at: Time,
    /// Whether the service is in doubt.
    is_suspect: bool,
}

/// A process that only other entry hosts reach.
#[derive(Clone, Debug)]
struct LostPath {
    service: ServiceName,
    probe_at: Time,
    delay: Duration,
}

/// The direct paths of an entry host.
#[derive(Clone, Debug, Default)]
pub struct PathTable {
    services: BTreeMap<ServiceName, ServicePaths>,
    lost: BTreeMap<UpstreamId, LostPath>,
    last_probe_at: Time,
}

impl PathTable {
    /// How to connect to a process now.
    pub fn plan(&self, service: &ServiceName, target: &UpstreamId) -> ConnectPlan {
        if self.lost.contains_key(target) {
            return ConnectPlan::ThroughFirst;
        }
        let hedge_after = match self.is_suspect(service) {
            true => SUSPECT_HEDGE_DELAY,
            false => HEDGE_DELAY,
        };
        ConnectPlan::DirectFirst { hedge_after }
    }

    /// Whether direct paths to the service are in doubt.
    pub fn is_suspect(&self, service: &ServiceName) -> bool {
        let paths = self.services.get(service);
        paths.is_some_and(|paths| paths.is_suspect)
    }

    /// Services of which no direct path is known to work.
    pub fn cut_services(&self) -> BTreeSet<ServiceName> {
        let suspect = self.services.iter();
        let suspect = suspect.filter(|(_, paths)| paths.is_suspect);
        suspect.map(|(service, _)| service.clone()).collect()
    }

    /// Records that a direct connection to a process failed, broke or stood still. Returns
    /// whether the service is in doubt from now on.
    pub fn record_failure(
        &mut self,
        service: &ServiceName,
        target: &UpstreamId,
        addr: SocketAddr,
        now: Time,
    ) -> bool {
        let paths = self.services.entry(service.clone()).or_default();
        paths.failed.insert(addr, target.clone());
        let is_silent = MIN_SILENCE <= now.since(paths.worked_at);
        let is_new = !paths.is_suspect && is_silent && MIN_FAILED_ADDRS <= paths.failed.len();
        paths.is_suspect |= is_new;
        is_new
    }

    /// Records that bytes came over a direct connection to the service. Returns whether it was in
    /// doubt before.
    pub fn record_sign(&mut self, service: &ServiceName, now: Time) -> bool {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServicePaths::default());
        }
        let Some(paths) = self.services.get_mut(service) else {
            return false;
        };
        paths.failed.clear();
        paths.worked_at = now;
        std::mem::take(&mut paths.is_suspect)
    }

    /// Records that another entry host reached a process that this one could not reach.
    pub fn record_lost(&mut self, service: &ServiceName, target: &UpstreamId, now: Time) {
        let lost = LostPath {
            service: service.clone(),
            probe_at: now + FIRST_PROBE_DELAY,
            delay: FIRST_PROBE_DELAY,
        };
        self.lost.entry(target.clone()).or_insert(lost);
    }

    /// Records that a direct connection to a process was made. Other lost paths to its service
    /// are probed at once. Returns whether the path was lost before.
    pub fn record_connected(&mut self, target: &UpstreamId, now: Time) -> bool {
        let Some(found) = self.lost.remove(target) else {
            return false;
        };
        let others = self.lost.values_mut();
        for lost in others.filter(|lost| lost.service == found.service) {
            lost.probe_at = now;
        }
        true
    }

    /// The process whose direct path is to be probed now, if any.
    pub fn next_probe(&mut self, now: Time) -> Option<UpstreamId> {
        if now.since(self.last_probe_at) < PROBE_INTERVAL {
            return None;
        }
        let lost = self
            .lost
            .iter_mut()
            .filter(|(_, lost)| lost.probe_at <= now);
        let (target, lost) = lost.min_by_key(|(_, lost)| lost.probe_at)?;
        lost.delay = (lost.delay * 2).min(MAX_PROBE_DELAY);
        lost.probe_at = now + lost.delay;
        self.last_probe_at = now;
        Some(target.clone())
    }

    /// Forgets processes that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.lost.retain(|target, _| is_known(target));
        for paths in self.services.values_mut() {
            paths.failed.retain(|_, target| is_known(target));
        }
    }
}
