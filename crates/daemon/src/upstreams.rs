//! The reports of hosts and services, received directly or relayed by other nodes.
//!
//! They are soft state: a report expires unless renewed, and a restarted node receives it
//! again from the next announcement.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use base::HostId;
use base::HostReport;
use base::Incarnation;
use base::ServiceName;
use base::ServiceReport;
use base::Time;
use wire::upstream::HOST_ANNOUNCEMENT_TTL;
use wire::upstream::HostHeartbeat;
use wire::upstream::SERVICE_ANNOUNCEMENT_TTL;

/// The most hosts whose reports one node keeps.
const MAX_HOSTS: usize = 32_768;

/// The most service processes whose reports one node keeps.
const MAX_SERVICES: usize = 4_096;

/// A report and when it was received.
#[derive(Clone, Debug)]
pub struct ReceivedReport<Report> {
    /// The report.
    pub report: Report,
    /// When this node received the report, or the latest heartbeat for it.
    pub received_at: Time,
}

impl<Report> ReceivedReport<Report> {
    fn new(report: Report, received_at: Time) -> Self {
        Self {
            report,
            received_at,
        }
    }
}

/// How a received report relates to the one known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The first report of this incarnation of the host or service.
    New,
    /// The report renews or updates an earlier one of the same incarnation.
    Renewed,
    /// The report is not newer than the known one, or the table is full.
    Ignored,
}

/// All reports that have not expired.
#[derive(Debug, Default)]
pub struct Upstreams {
    hosts: BTreeMap<HostId, ReceivedReport<HostReport>>,
    services: BTreeMap<(ServiceName, SocketAddr), ReceivedReport<ServiceReport>>,
}

impl Upstreams {
    /// Records a host's report, if it is newer than the known one.
    pub fn record_host_report(&mut self, report: &HostReport, now: Time) -> ReportOutcome {
        let known = self.hosts.get(&report.host);
        let known = known.map(|known| ReportOrder::of_host(&known.report));
        let free = MAX_HOSTS.saturating_sub(self.hosts.len());
        let outcome = report_outcome(known, ReportOrder::of_host(report), free);
        if outcome != ReportOutcome::Ignored {
            let received = ReceivedReport::new(report.clone(), now);
            self.hosts.insert(report.host, received);
        }
        outcome
    }

    /// Applies a host's heartbeat and returns the updated report. None if the host or this
    /// incarnation of it is not known, or if the heartbeat is out of date.
    pub fn apply_heartbeat(&mut self, heartbeat: &HostHeartbeat, now: Time) -> Option<&HostReport> {
        let known = self.hosts.get_mut(&heartbeat.host)?;
        if !heartbeat.apply_to(&mut known.report) {
            return None;
        }
        known.received_at = now;
        Some(&known.report)
    }

    /// Records the report of a service process, if it is newer than the known one.
    pub fn record_service_report(&mut self, report: &ServiceReport, now: Time) -> ReportOutcome {
        let key = (report.service.clone(), report.addr);
        let known = self.services.get(&key);
        let known = known.map(|known| ReportOrder::of_service(&known.report));
        let free = MAX_SERVICES.saturating_sub(self.services.len());
        let outcome = report_outcome(known, ReportOrder::of_service(report), free);
        if outcome != ReportOutcome::Ignored {
            let received = ReceivedReport::new(report.clone(), now);
            self.services.insert(key, received);
        }
        outcome
    }

    /// Removes the reports that were not renewed, and returns whose they were.
    pub fn expire(&mut self, now: Time) -> Expired {
        let is_expired = |received_at: Time, ttl: Duration| ttl < now.since(received_at);
        let hosts = self
            .hosts
            .extract_if(.., |_, h| is_expired(h.received_at, HOST_ANNOUNCEMENT_TTL));
        let hosts = hosts
            .map(|(host, received)| (host, now.since(received.received_at)))
            .collect();
        let services = self.services.extract_if(.., |_, s| {
            is_expired(s.received_at, SERVICE_ANNOUNCEMENT_TTL)
        });
        let services = services.map(|(key, _)| key).collect();
        Expired { hosts, services }
    }

    /// The report of one host.
    pub fn host(&self, host: HostId) -> Option<&ReceivedReport<HostReport>> {
        self.hosts.get(&host)
    }

    /// The reports of all service processes, ordered by name and address.
    pub fn services(&self) -> impl Iterator<Item = &ServiceReport> {
        self.services.values().map(|received| &received.report)
    }

    /// The processes of a service that accept calls.
    pub fn active_processes<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a ServiceReport> {
        self.services()
            .filter(move |s| s.service == *service && !s.leaving)
    }
}

/// The hosts and services whose reports expired.
#[derive(Debug, Default)]
pub struct Expired {
    /// Hosts, and the time since their last report or heartbeat.
    pub hosts: Vec<(HostId, Duration)>,
    /// Service processes.
    pub services: Vec<(ServiceName, SocketAddr)>,
}

/// The order of the reports of one host or service process. Later ones are larger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReportOrder {
    incarnation: Incarnation,
    sequence: u64,
}

impl ReportOrder {
    fn of_host(report: &HostReport) -> Self {
        Self {
            incarnation: report.incarnation,
            sequence: report.sequence,
        }
    }

    fn of_service(report: &ServiceReport) -> Self {
        Self {
            incarnation: report.incarnation,
            sequence: report.sequence,
        }
    }
}

/// How a report relates to the known one. `free` is the number of further reports that the
/// table has room for.
fn report_outcome(known: Option<ReportOrder>, new: ReportOrder, free: usize) -> ReportOutcome {
    match known {
        None if free == 0 => ReportOutcome::Ignored,
        None => ReportOutcome::New,
        Some(known) if new <= known => ReportOutcome::Ignored,
        Some(known) if new.incarnation == known.incarnation => ReportOutcome::Renewed,
        Some(_) => ReportOutcome::New,
    }
}
