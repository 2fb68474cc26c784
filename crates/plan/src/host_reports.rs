//! The hosts' reports that an entry node has received itself.
//!
//! While a data centre has no controller, its entry nodes keep routing to the replicas
//! that they were granted, as long as every host confirms its assignment in a recent
//! report.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Route;
use base::Assignment;
use base::Duty;
use base::HostId;
use base::HostReport;
use base::Incarnation;
use base::Time;

/// A longer gap between two calls means that this process was frozen.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// How long reports are ignored after a freeze: they may have waited in a queue.
const IGNORE_REPORTS_AFTER_PAUSE: Duration = Duration::from_millis(500);

/// A host is forgotten after this time without a report.
const FORGET_HOST_AFTER: Duration = Duration::from_secs(60);

/// The newest report of each host.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostReports {
    latest: BTreeMap<HostId, LatestReport>,
    last_activity_at: Time,
    ignore_until: Time,
}

#[derive(Clone, Debug)]
struct LatestReport {
    /// The host's incarnation and the report's sequence number.
    version: (Incarnation, u64),
    /// `None` also if the host is about to leave.
    ready_assignment: Option<Assignment>,
    heard_at: Time,
}

impl HostReports {
    /// Records that the process is running. Must be called several times a second.
    pub fn record_activity(&mut self, now: Time) {
        if self.last_activity_at + PAUSE_THRESHOLD < now {
            self.ignore_until = now + IGNORE_REPORTS_AFTER_PAUSE;
        }
        self.last_activity_at = now;
    }

    /// Receives a host's report.
    pub fn receive(&mut self, report: &HostReport, now: Time) {
        self.record_activity(now);
        let version = (report.incarnation, report.sequence);
        let known = self.latest.get(&report.host);
        if now < self.ignore_until || known.is_some_and(|latest| version <= latest.version) {
            return;
        }
        let ready_assignment = match &report.duty {
            Duty::Ready(assignment) if !report.leaving => Some(assignment.clone()),
            Duty::Ready(_) | Duty::Loading(_) | Duty::Idle => None,
        };
        self.latest.insert(
            report.host,
            LatestReport {
                version,
                ready_assignment,
                heard_at: now,
            },
        );
    }

    /// Removes hosts that have sent no report for [`FORGET_HOST_AFTER`].
    pub fn forget_silent_hosts(&mut self, now: Time) {
        self.latest
            .retain(|_, latest| now < latest.heard_at + FORGET_HOST_AFTER);
    }

    /// True if every host of the route has reported within this time that it is ready in it.
    pub fn confirms_route(&self, route: &Route, within: Duration, now: Time) -> bool {
        let is_ready = |host| {
            let latest: Option<&LatestReport> = self.latest.get(host);
            latest.is_some_and(|latest| {
                now < latest.heard_at + within
                    && latest
                        .ready_assignment
                        .as_ref()
                        .is_some_and(|a| route.matches_assignment(a))
            })
        };
        route.hosts.iter().all(is_ready)
    }
}
