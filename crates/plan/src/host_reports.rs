//! What an entry node heard from hosts itself.
//!
//! While a data centre has no controller, its entry nodes go on routing to the
//! replicas that they hold, as long as each host confirms itself here.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Route;
use base::Assignment;
use base::Duty;
use base::HostId;
use base::HostReport;
use base::Incarnation;
use base::Time;

/// A pause between two uses that tells that this process was frozen.
const PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// After a pause, reports are not believed for this time: they may have lain in a queue.
const PAUSE_DEAF: Duration = Duration::from_millis(500);

/// A host that is silent this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The newest reports of hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostReports {
    latest: BTreeMap<HostId, LatestReport>,
    last_activity_at: Time,
    ignore_until: Time,
}

#[derive(Clone, Debug)]
struct LatestReport {
    version: (Incarnation, u64),
    ready_assignment: Option<Assignment>,
    heard_at: Time,
}

impl HostReports {
    /// Notes that the process is running. Called several times a second.
    pub fn record_activity(&mut self, now: Time) {
        if self.last_activity_at + PAUSE_LIMIT < now {
            self.ignore_until = now + PAUSE_DEAF;
        }
        self.last_activity_at = now;
    }

    /// Takes a host's report.
    pub fn receive(&mut self, report: &HostReport, now: Time) {
        self.record_activity(now);
        let life = (report.incarnation, report.sequence);
        let known = self.latest.get(&report.host);
        if now < self.ignore_until || known.is_some_and(|told| life <= told.version) {
            return;
        }
        let ready = match &report.duty {
            Duty::Ready(assignment) if !report.leaving => Some(assignment.clone()),
            Duty::Ready(_) | Duty::Loading(_) | Duty::Idle => None,
        };
        let at = now;
        self.latest.insert(
            report.host,
            LatestReport {
                version: life,
                ready_assignment: ready,
                heard_at: at,
            },
        );
    }

    /// Drops hosts that fell silent.
    pub fn forget_silent_hosts(&mut self, now: Time) {
        self.latest
            .retain(|_, told| now < told.heard_at + FORGET_AFTER);
    }

    /// True if every host of the route said, this lately, that it is ready in it.
    pub fn confirm_route(&self, route: &Route, within: Duration, now: Time) -> bool {
        let is_ready = |host| {
            let told: Option<&LatestReport> = self.latest.get(host);
            told.is_some_and(|told| {
                now < told.heard_at + within
                    && told
                        .ready_assignment
                        .as_ref()
                        .is_some_and(|a| route.is_of(a))
            })
        };
        route.hosts.iter().all(is_ready)
    }
}
