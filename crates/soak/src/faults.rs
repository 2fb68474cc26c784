//! Injects the faults of a plan into the processes of a run.

use std::collections::BTreeSet;
use std::ffi::OsStr;
use std::fs;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use crate::Delivery;
use crate::Fault;
use crate::Finding;
use crate::Plan;
use crate::testbed::Testbed;
use crate::testbed::host_spec;

/// The delay of [`Fault::Slow`].
const DELAY: Duration = Duration::from_millis(250);

/// The bytes of an unfinished write at the end of a log.
const UNFINISHED_WRITE: [u8; 5] = [0x42, 0x00, 0x17, 0x99, 0x01];

/// Whether a fault starts or ends. A fault starts before it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FaultEdge {
    Begins,
    Ends,
}

impl Testbed {
    /// Starts and ends each fault at its time, and records nodes that exited unexpectedly.
    pub(crate) fn inject_faults(&mut self, plan: &Plan) -> io::Result<()> {
        let started = Instant::now();
        let mut edges = BTreeSet::new();
        for (index, timed) in plan.faults.iter().enumerate() {
            edges.insert((timed.starts_at, index, FaultEdge::Begins));
            edges.insert((timed.starts_at + timed.duration, index, FaultEdge::Ends));
        }
        for (time, index, edge) in edges {
            std::thread::sleep(time.saturating_sub(started.elapsed()));
            self.record_unexpected_exits();
            match edge {
                FaultEdge::Begins => self.start_fault(index, plan.faults[index].fault)?,
                FaultEdge::Ends => self.end_fault(index, plan.faults[index].fault)?,
            }
        }
        Ok(())
    }

    fn record_unexpected_exits(&mut self) {
        for node in self.size.nodes() {
            if !self.stopped.contains(&node) && self.cluster.node(node).has_ended() {
                self.findings.push(Finding::ExitedUnexpectedly { node });
                self.stopped.insert(node);
            }
        }
    }

    fn start_fault(&mut self, index: usize, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill(node) => self.kill_node(node),
            Fault::Stop(node) => {
                self.cluster.node(node).signal(Signal::TERM);
                self.stopped.insert(node);
            }
            Fault::Pause(node) => self.cluster.node(node).signal(Signal::STOP),
            Fault::Wipe(node) => {
                self.kill_node(node);
                ignore_not_found(fs::remove_dir_all(self.cluster.data_folder(node)))?;
            }
            Fault::Tear(node) => {
                self.kill_node(node);
                ignore_not_found(append_unfinished_write(&self.cluster.data_folder(node)))?;
            }
            Fault::KillHost(host) => self.cluster.host(host).kill(),
            Fault::PauseHost(host) => self.cluster.host(host).signal(Signal::STOP),
            Fault::CutOff(node) => {
                for other in self.size.nodes().filter(|other| *other != node) {
                    self.links.set(index, node, other, Delivery::Drop);
                    self.links.set(index, other, node, Delivery::Drop);
                }
            }
            Fault::OneWay { from, to } => self.links.set(index, from, to, Delivery::Drop),
            Fault::Slow { from, to } => self.links.set(index, from, to, Delivery::Delay(DELAY)),
            Fault::Reset { from, to } => self.links.set(index, from, to, Delivery::Reset),
            Fault::PauseService(service) => self.signal_service(service, Signal::STOP),
            Fault::Rules => self.change_rules(),
        }
        Ok(())
    }

    fn end_fault(&mut self, index: usize, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill(node) | Fault::Stop(node) => self.restart_if_stopped(node)?,
            Fault::Wipe(node) | Fault::Tear(node) => self.restart_if_stopped(node)?,
            Fault::Pause(node) => self.cluster.node(node).signal(Signal::CONT),
            Fault::KillHost(id) => self.cluster.start_host(host_spec(self.size, id.0))?,
            Fault::PauseHost(host) => self.cluster.host(host).signal(Signal::CONT),
            Fault::PauseService(service) => self.signal_service(service, Signal::CONT),
            Fault::CutOff(_) | Fault::OneWay { .. } => self.links.clear(index),
            Fault::Slow { .. } | Fault::Reset { .. } => self.links.clear(index),
            Fault::Rules => {}
        }
        Ok(())
    }

    fn signal_service(&mut self, index: usize, signal: Signal) {
        let addr = self.services[index];
        self.cluster.service(addr).signal(signal);
    }

    fn change_rules(&self) {
        let (rules_changer, record) = (Arc::clone(&self.rules_changer), Arc::clone(&self.record));
        std::thread::spawn(move || {
            if let Some(version) = rules_changer.change_rules() {
                let mut record = record.lock().expect("no caller panics");
                record.accepted = record.accepted.max(version);
            }
        });
    }

    /// Starts all nodes that are still stopped and resumes all that are still suspended.
    pub(crate) fn end_all_faults(&mut self) -> io::Result<()> {
        self.record_unexpected_exits();
        for node in self.size.nodes() {
            self.restart_if_stopped(node)?;
            self.cluster.node(node).signal(Signal::CONT);
        }
        Ok(())
    }
}

/// Appends an unfinished write to the newest log file.
fn append_unfinished_write(data: &Path) -> io::Result<()> {
    let mut log_files = Vec::new();
    for entry in fs::read_dir(data)? {
        log_files.push(entry?.path());
    }
    log_files.retain(|path| is_log_file(path));
    log_files.sort();
    let Some(newest) = log_files.last() else {
        return Ok(());
    };
    fs::File::options()
        .append(true)
        .open(newest)?
        .write_all(&UNFINISHED_WRITE)
}

/// Accepts a missing folder: a voter that was wiped or that never wrote has no data folder.
fn ignore_not_found(done: io::Result<()>) -> io::Result<()> {
    match done {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        done => done,
    }
}

fn is_log_file(path: &Path) -> bool {
    let name = path.file_name().and_then(OsStr::to_str);
    name.is_some_and(|name| name.starts_with("log-"))
}
