//! Runs a plan of faults on real processes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ffi::OsStr;
use std::fs;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use crate::ClusterSize;
use crate::Delivery;
use crate::Fault;
use crate::Finding;
use crate::Links;
use crate::Plan;
use crate::Record;
use crate::check;
use crate::load;
use crate::watch;
use crate::watch::RulesChanger;
use base::NodeId;
use harness::Caller;
use harness::Cluster;
use harness::HostSpec;
use harness::NodeSpec;
use harness::Operator;
use harness::ServiceSpec;
use harness::rules_text;
use harness::wait_until;

/// A caller that the rules allow at all services and models.
const CALLER: &str = "stall-7";

/// The names of the services, the nth of which is in the nth data centre.
const SERVICE_NAMES: [&str; 3] = ["orders", "dispatch", "stock"];

/// Time until all nodes serve. They first wait until leases of an earlier incarnation end.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Time to serve again after all faults: a lease ends, a controller takes over, a replica forms.
const RECOVERY_LIMIT: Duration = Duration::from_secs(60);

/// The delay of [`Fault::Slow`].
const DELAY: Duration = Duration::from_millis(250);

/// The bytes of an unfinished write at the end of a log.
const UNFINISHED_WRITE: [u8; 5] = [0x42, 0x00, 0x17, 0x99, 0x01];

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

/// The processes of a run, the proxies between them, and what was observed.
struct Testbed {
    cluster: Cluster,
    links: Links,
    size: ClusterSize,
    services: Vec<SocketAddr>,
    /// Nodes that were stopped or killed, or exited, and were not yet started again.
    stopped: BTreeSet<NodeId>,
    incarnations: BTreeMap<NodeId, Arc<AtomicU32>>,
    rules_changer: Arc<RulesChanger>,
    record: Arc<Mutex<Record>>,
    findings: Vec<Finding>,
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
    fn open(size: ClusterSize) -> io::Result<Self> {
        let spec = |id: NodeId| match id.0 <= size.voters {
            true => NodeSpec::voter(id.0, size.centre_of(id.0)),
            false => NodeSpec::entry(id.0, size.centre_of(id.0)),
        };
        let specs: Vec<NodeSpec> = size.nodes().map(spec).collect();
        let mut links = Links::default();
        let bind = |from, to, addr| links.bind(from, to, addr);
        let mut cluster = Cluster::start_with_links(&specs, bind)?;
        for id in 1..=size.hosts {
            cluster.start_host(host_spec(size, id))?;
        }
        let mut services = Vec::new();
        for (name, centre) in SERVICE_NAMES.into_iter().zip(1..) {
            let spec = ServiceSpec::new(name, centre).delay_ms(20);
            services.push(cluster.start_service(&spec)?);
        }
        let operators = size.nodes().map(|id| (id, cluster.operator(id))).collect();
        let rules_changer = RulesChanger::new(cluster.rules_file(), operators);
        Ok(Self {
            cluster,
            links,
            size,
            services,
            stopped: BTreeSet::new(),
            incarnations: size.nodes().map(|id| (id, Arc::default())).collect(),
            rules_changer: Arc::new(rules_changer),
            record: Arc::default(),
            findings: Vec::new(),
        })
    }

    fn start_serving(&mut self) -> io::Result<()> {
        let applied = self.cluster.apply(NodeId(1), &rules_text(1), START_LIMIT)?;
        if !applied.status.success() {
            return Err(io::Error::other(format!("rules not accepted: {applied:?}")));
        }
        let unserved = self.unserved(START_LIMIT, "up");
        match unserved.first() {
            None => Ok(()),
            Some(first) => {
                self.cluster.keep_logs();
                Err(io::Error::other(format!("before the first fault: {first}")))
            }
        }
    }

    /// Returns what nodes do not serve, after retrying each request until the limit is over.
    fn unserved(&self, limit: Duration, name: &str) -> Vec<Finding> {
        let started = Instant::now();
        let mut findings = Vec::new();
        for node in self.size.nodes() {
            let caller = self.cluster.caller(node, CALLER);
            let mut count = 0;
            let mut serves = |what: &str| {
                count += 1;
                let key = format!("{name}-{node}-{count}");
                let reply = match what {
                    "chat" => caller.chat(&key, 3),
                    service => caller.call(service, "{\"batch\":1}", Some(&key)),
                };
                reply.is_ok_and(|reply| reply.status == 200)
            };
            for what in SERVICE_NAMES.into_iter().chain(["chat"]) {
                let left = limit.saturating_sub(started.elapsed());
                if !wait_until(left, || serves(what)) {
                    let what = what.to_owned();
                    findings.push(Finding::DoesNotServe { node, what });
                }
            }
        }
        findings
    }

    fn callers(&self) -> BTreeMap<NodeId, Caller> {
        let nodes = self.size.nodes();
        nodes
            .map(|id| (id, self.cluster.caller(id, CALLER)))
            .collect()
    }

    /// Starts the callers, and for each node an operator that polls its version.
    fn spawn_clients(&self, plan: &Plan, ended: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
        let mut threads = Vec::new();
        for id in 0..u64::from(self.size.callers) {
            let (nodes, record, ended) =
                (self.callers(), Arc::clone(&self.record), Arc::clone(ended));
            let seed = plan.seed.wrapping_mul(1_000).wrapping_add(id);
            let call = move || load::run_caller(seed, &nodes, &record, &ended);
            threads.push(std::thread::spawn(call));
        }
        for (node, incarnation) in &self.incarnations {
            let (node, incarnation) = (*node, Arc::clone(incarnation));
            let operator: Operator = self.cluster.operator(node);
            let (record, ended) = (Arc::clone(&self.record), Arc::clone(ended));
            let poll = move || watch::poll_versions(node, &operator, &incarnation, &record, &ended);
            threads.push(std::thread::spawn(poll));
        }
        threads
    }

    /// Starts and ends each fault at its time, and records nodes that exited unexpectedly.
    fn inject_faults(&mut self, plan: &Plan) -> io::Result<()> {
        let started = Instant::now();
        let mut due = BTreeSet::new();
        for (index, entry) in plan.faults.iter().enumerate() {
            due.insert((entry.starts_at, index, FaultEdge::Begins));
            due.insert((entry.starts_at + entry.duration, index, FaultEdge::Ends));
        }
        for (time, index, edge) in due {
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

    fn kill_node(&mut self, node: NodeId) {
        self.cluster.node(node).kill();
        self.stopped.insert(node);
    }

    fn restart_if_stopped(&mut self, node: NodeId) -> io::Result<()> {
        if self.stopped.remove(&node) {
            self.cluster.node(node).kill();
            self.incarnations[&node].fetch_add(1, Ordering::SeqCst);
            self.cluster.start_node(node)?;
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

    /// Ends all faults that are left: starts stopped nodes and resumes suspended ones.
    fn end_all_faults(&mut self) -> io::Result<()> {
        self.record_unexpected_exits();
        for node in self.size.nodes() {
            self.restart_if_stopped(node)?;
            self.cluster.node(node).signal(Signal::CONT);
        }
        Ok(())
    }

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
            let reply = reply.map_err(|e| io::Error::other(format!("no answer of {name}: {e}")))?;
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

/// Whether a fault starts or ends at a point in time. A fault starts before it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FaultEdge {
    Begins,
    Ends,
}

fn host_spec(size: ClusterSize, id: u32) -> HostSpec {
    HostSpec::new(id, size.centre_of(id))
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
