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
pub(crate) struct HeardHosts {
    hosts: BTreeMap<HostId, Told>,
    last_use: Time,
    deaf_until: Time,
}

#[derive(Clone, Debug)]
struct Told {
    life: (Incarnation, u64),
    ready: Option<Assignment>,
    at: Time,
}

impl HeardHosts {
    /// Notes that the process is running. Called several times a second.
    pub fn note_use(&mut self, now: Time) {
        if self.last_use + PAUSE_LIMIT < now {
            self.deaf_until = now + PAUSE_DEAF;
        }
        self.last_use = now;
    }

    /// Takes a host's report.
    pub fn hear(&mut self, report: &HostReport, now: Time) {
        self.note_use(now);
        let life = (report.incarnation, report.sequence);
        let known = self.hosts.get(&report.host);
        if now < self.deaf_until || known.is_some_and(|told| life <= told.life) {
            return;
        }
        let ready = match &report.duty {
            Duty::Ready(assignment) if !report.leaving => Some(assignment.clone()),
            Duty::Ready(_) | Duty::Loading(_) | Duty::Idle => None,
        };
        let at = now;
        self.hosts.insert(report.host, Told { life, ready, at });
    }

    /// Drops hosts that fell silent.
    pub fn forget(&mut self, now: Time) {
        self.hosts.retain(|_, told| now < told.at + FORGET_AFTER);
    }

    /// True if every host of the route said, this lately, that it is ready in it.
    pub fn confirm(&self, route: &Route, within: Duration, now: Time) -> bool {
        let is_ready = |host| {
            let told: Option<&Told> = self.hosts.get(host);
            told.is_some_and(|told| {
                now < told.at + within && told.ready.as_ref().is_some_and(|a| route.is_of(a))
            })
        };
        route.hosts.iter().all(is_ready)
    }
}
