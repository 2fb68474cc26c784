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
pub struct HeardOf<Report> {
    /// What was said.
    pub report: Report,
    /// When it was heard here.
    pub at: Time,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hearing {
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
    hosts: BTreeMap<HostId, HeardOf<HostReport>>,
    services: BTreeMap<(ServiceName, SocketAddr), HeardOf<ServiceReport>>,
}

impl Upstreams {
    /// Takes a host's report.
    pub fn hear_host(&mut self, report: &HostReport, now: Time) -> Hearing {
        let hearing = match self.hosts.get(&report.host) {
            Some(known) => {
                let known = &known.report;
                let newer =
                    (known.incarnation, known.sequence) < (report.incarnation, report.sequence);
                judge(newer, known.incarnation == report.incarnation)
            }
            None if MAX_HOSTS <= self.hosts.len() => Hearing::Ignored,
            None => Hearing::New,
        };
        if hearing != Hearing::Ignored {
            let report = report.clone();
            self.hosts.insert(report.host, HeardOf { report, at: now });
        }
        hearing
    }

    /// Takes a host's beat and gives its report, brought up to date. None if the host or
    /// this life of it is not known, or if the beat is old.
    pub fn beat(&mut self, beat: &HostHeartbeat, now: Time) -> Option<&HostReport> {
        let known = self.hosts.get_mut(&beat.host)?;
        if !beat.apply_to(&mut known.report) {
            return None;
        }
        known.at = now;
        Some(&known.report)
    }

    /// Takes a service's report.
    pub fn hear_service(&mut self, report: &ServiceReport, now: Time) -> Hearing {
        let key = (report.service.clone(), report.addr);
        let hearing = match self.services.get(&key) {
            Some(known) => {
                let known = &known.report;
                let newer =
                    (known.incarnation, known.sequence) < (report.incarnation, report.sequence);
                judge(newer, known.incarnation == report.incarnation)
            }
            None if MAX_SERVICES <= self.services.len() => Hearing::Ignored,
            None => Hearing::New,
        };
        if hearing != Hearing::Ignored {
            let report = report.clone();
            self.services.insert(key, HeardOf { report, at: now });
        }
        hearing
    }

    /// Drops what was not renewed and gives the hosts and services that it was.
    pub fn expire(&mut self, now: Time) -> Expired {
        let is_over = |at: Time, life: Duration| life < now.since(at);
        let hosts = self
            .hosts
            .extract_if(.., |_, h| is_over(h.at, HOST_ANNOUNCEMENT_TTL));
        let hosts = hosts
            .map(|(host, heard)| (host, now.since(heard.at)))
            .collect();
        let services = self
            .services
            .extract_if(.., |_, s| is_over(s.at, SERVICE_ANNOUNCEMENT_TTL));
        let services = services.map(|(key, _)| key).collect();
        Expired { hosts, services }
    }

    /// One host.
    pub fn host(&self, host: HostId) -> Option<&HeardOf<HostReport>> {
        self.hosts.get(&host)
    }

    /// The services, by name and address.
    pub fn services(&self) -> impl Iterator<Item = &ServiceReport> {
        self.services.values().map(|heard| &heard.report)
    }

    /// The processes of a service that take work.
    pub fn processes_of<'a>(
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

fn judge(newer: bool, same_life: bool) -> Hearing {
    match (newer, same_life) {
        (false, _) => Hearing::Ignored,
        (true, true) => Hearing::Renewed,
        (true, false) => Hearing::New,
    }
}
