//! What this node heard from hosts and services, directly or by its neighbours.
//!
//! It is soft state: it ends unless renewed, and is heard again after a restart.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use base::HostId;
use base::HostReport;
use base::ServiceName;
use base::ServiceReport;
use base::Time;
use wire::upstream::HOST_ANNOUNCEMENT_TTL;
use wire::upstream::HostHeartbeat;
use wire::upstream::SERVICE_ANNOUNCEMENT_TTL;

/// Hosts that one node keeps reports of at most.
const MAX_HOSTS: usize = 32_768;

/// Service processes that one node keeps reports of at most.
const MAX_SERVICES: usize = 4_096;

/// A report and when it was heard.
#[derive(Clone, Debug)]
pub struct ReceivedReport<Report> {
    /// What was said.
    pub report: Report,
    /// When it was heard here.
    pub received_at: Time,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The first of this life.
    New,
    /// It renews or changes an earlier one.
    Renewed,
    /// It is older than what was heard before, or there is no room.
    Ignored,
}

/// All reports that are still alive.
#[derive(Debug, Default)]
pub struct Upstreams {
    hosts: BTreeMap<HostId, ReceivedReport<HostReport>>,
    services: BTreeMap<(ServiceName, SocketAddr), ReceivedReport<ServiceReport>>,
}

impl Upstreams {
    /// Takes a host's report.
    pub fn record_host_report(&mut self, report: &HostReport, now: Time) -> ReportOutcome {
        let outcome = match self.hosts.get(&report.host) {
            Some(known) => {
                let known = &known.report;
                let is_newer =
                    (known.incarnation, known.sequence) < (report.incarnation, report.sequence);
                report_outcome(is_newer, known.incarnation == report.incarnation)
            }
            None if MAX_HOSTS <= self.hosts.len() => ReportOutcome::Ignored,
            None => ReportOutcome::New,
        };
        if outcome != ReportOutcome::Ignored {
            let report = report.clone();
            self.hosts.insert(
                report.host,
                ReceivedReport {
                    report,
                    received_at: now,
                },
            );
        }
        outcome
    }

    /// Takes a host's beat and gives its report, brought up to date. None if the host or
    /// this life of it is not known, or if the beat is old.
    pub fn apply_heartbeat(&mut self, heartbeat: &HostHeartbeat, now: Time) -> Option<&HostReport> {
        let known = self.hosts.get_mut(&heartbeat.host)?;
        if !heartbeat.apply_to(&mut known.report) {
            return None;
        }
        known.received_at = now;
        Some(&known.report)
    }

    /// Takes a service's report.
    pub fn record_service_report(&mut self, report: &ServiceReport, now: Time) -> ReportOutcome {
        let key = (report.service.clone(), report.addr);
        let outcome = match self.services.get(&key) {
            Some(known) => {
                let known = &known.report;
                let is_newer =
                    (known.incarnation, known.sequence) < (report.incarnation, report.sequence);
                report_outcome(is_newer, known.incarnation == report.incarnation)
            }
            None if MAX_SERVICES <= self.services.len() => ReportOutcome::Ignored,
            None => ReportOutcome::New,
        };
        if outcome != ReportOutcome::Ignored {
            let report = report.clone();
            self.services.insert(
                key,
                ReceivedReport {
                    report,
                    received_at: now,
                },
            );
        }
        outcome
    }

    /// Drops what was not renewed and gives the hosts and services that it was.
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

    /// One host.
    pub fn host(&self, host: HostId) -> Option<&ReceivedReport<HostReport>> {
        self.hosts.get(&host)
    }

    /// The services, by name and address.
    pub fn services(&self) -> impl Iterator<Item = &ServiceReport> {
        self.services.values().map(|received| &received.report)
    }

    /// The processes of a service that take work.
    pub fn active_processes<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a ServiceReport> {
        self.services()
            .filter(move |s| s.service == *service && !s.leaving)
    }
}

/// What was not renewed.
#[derive(Debug, Default)]
pub struct Expired {
    /// Hosts, and how long they were silent.
    pub hosts: Vec<(HostId, Duration)>,
    /// Services' processes.
    pub services: Vec<(ServiceName, SocketAddr)>,
}

fn report_outcome(is_newer: bool, same_incarnation: bool) -> ReportOutcome {
    match (is_newer, same_incarnation) {
        (false, _) => ReportOutcome::Ignored,
        (true, true) => ReportOutcome::Renewed,
        (true, false) => ReportOutcome::New,
    }
}
