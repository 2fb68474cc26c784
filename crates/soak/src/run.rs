//! Runs a plan of faults on real processes.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Finding;
use crate::Plan;
use crate::check;
use crate::testbed::SERVICE_NAMES;
use crate::testbed::Testbed;
use harness::Caller;
use harness::wait_until;

/// Time to serve again after all faults: a lease ends, a controller takes over, a replica forms.
const RECOVERY_LIMIT: Duration = Duration::from_secs(60);

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The violated guarantees.
    pub findings: Vec<Finding>,
    /// The number of calls with idempotency keys.
    pub keyed_calls: usize,
    /// The number of streamed chats.
    pub chats: usize,
    /// The newest version of the configuration that was accepted.
    pub accepted: u64,
    /// The folder with settings, state and logs, if a guarantee was violated.
    pub folder: Option<PathBuf>,
}

/// Runs a plan and checks the guarantees.
pub fn run(plan: &Plan) -> io::Result<Report> {
    let mut testbed = Testbed::open(plan.size)?;
    testbed.start_serving()?;
    let ended = Arc::new(AtomicBool::new(false));
    let threads = testbed.spawn_clients(plan, &ended);
    testbed.inject_faults(plan)?;
    testbed.end_all_faults()?;
    testbed.check_recovery();
    ended.store(true, Ordering::Relaxed);
    for thread in threads {
        thread
            .join()
            .map_err(|_| io::Error::other("a caller panicked"))?;
    }
    testbed.report()
}

impl Testbed {
    fn check_recovery(&mut self) {
        let unserved = self.unserved(RECOVERY_LIMIT, "again");
        self.findings.extend(unserved);
        let accepted = self.record.lock().expect("no caller panics").accepted;
        let version = |id| self.cluster.config_version(id).unwrap_or(0);
        let all = || self.size.nodes().all(|id| accepted <= version(id));
        wait_until(RECOVERY_LIMIT, all);
        let final_versions = self.size.nodes().map(|id| (id, version(id))).collect();
        self.record.lock().expect("no caller panics").final_versions = final_versions;
    }

    fn report(mut self) -> io::Result<Report> {
        let mut record = self.record.lock().expect("no caller panics").clone();
        for (name, addr) in SERVICE_NAMES.into_iter().zip(&self.services) {
            let reply = Caller::new(*addr, "-").get("/runs");
            let reply = reply.map_err(|e| io::Error::other(format!("{name} unreachable: {e}")))?;
            let runs = serde_json::from_value(reply.json())?;
            record.runs.insert(name.to_owned(), runs);
        }
        self.findings.extend(check(&record));
        let is_violated = !self.findings.is_empty();
        if is_violated {
            self.cluster.keep_logs();
        }
        Ok(Report {
            findings: self.findings,
            keyed_calls: record.keyed_calls.len(),
            chats: record.chats.len(),
            accepted: record.accepted,
            folder: is_violated.then(|| self.cluster.folder().to_owned()),
        })
    }
}
