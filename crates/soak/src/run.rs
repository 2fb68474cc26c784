//! Plays a plan on real processes.

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

use crate::Finding;
use crate::Links;
use crate::Plan;
use crate::Record;
use crate::Size;
use crate::Trouble;
use crate::Way;
use crate::check;
use crate::load;
use crate::watch;
use crate::watch::Changes;
use base::NodeId;
use harness::Caller;
use harness::Cluster;
use harness::HostSpec;
use harness::NodeSpec;
use harness::Operator;
use harness::ServiceSpec;
use harness::rules_text;
use harness::wait_until;

/// The organisation's caller that all services and models take.
const CALLER: &str = "stall-7";

/// Services, the nth in the nth data centre.
const SERVICES: [&str; 3] = ["orders", "dispatch", "stock"];

/// Time to come up: leases of an earlier life are waited out first.
const UP: Duration = Duration::from_secs(60);

/// Time to serve again after all faults: a lease, a controller and a formed replica.
const RECOVERY: Duration = Duration::from_secs(60);

/// What is late comes so late.
const LATE: Duration = Duration::from_millis(250);

/// An unfinished write at the end of a log.
const TORN: [u8; 5] = [0x42, 0x00, 0x17, 0x99, 0x01];

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// Broken promises.
    pub findings: Vec<Finding>,
    /// Calls under keys.
    pub orders: usize,
    /// Streams.
    pub chats: usize,
    /// The newest version that was accepted.
    pub accepted: u64,
    /// Settings, state and logs, if a promise was broken.
    pub folder: Option<PathBuf>,
}

/// The processes of a run, and what stands between them.
struct Stage {
    cluster: Cluster,
    links: Links,
    size: Size,
    services: Vec<SocketAddr>,
    /// Nodes that do not run because they were told to end.
    down: BTreeSet<NodeId>,
    lives: BTreeMap<NodeId, Arc<AtomicU32>>,
    changes: Arc<Changes>,
    record: Arc<Mutex<Record>>,
    findings: Vec<Finding>,
}

/// Plays a plan and checks its promises.
pub fn run(plan: &Plan) -> io::Result<Report> {
    let mut stage = Stage::open(plan.size)?;
    stage.bring_up()?;
    let ended = Arc::new(AtomicBool::new(false));
    let threads = stage.spawn_load(plan, &ended);
    stage.play(plan)?;
    stage.heal()?;
    stage.recover();
    ended.store(true, Ordering::Relaxed);
    for thread in threads {
        thread
            .join()
            .map_err(|_| io::Error::other("a caller panicked"))?;
    }
    stage.report()
}

impl Stage {
    fn open(size: Size) -> io::Result<Self> {
        let spec = |id: NodeId| match id.0 <= size.voters {
            true => NodeSpec::voter(id.0, size.centre(id.0)),
            false => NodeSpec::entry(id.0, size.centre(id.0)),
        };
        let specs: Vec<NodeSpec> = size.nodes().map(spec).collect();
        let mut links = Links::default();
        let bind = |from, to, addr| links.bind(from, to, addr);
        let mut cluster = Cluster::start_with_links(&specs, bind)?;
        for id in 1..=size.hosts {
            cluster.start_host(host(size, id))?;
        }
        let mut services = Vec::new();
        for (name, centre) in SERVICES.into_iter().zip(1..) {
            let spec = ServiceSpec::new(name, centre).delay_ms(20);
            services.push(cluster.start_service(&spec)?);
        }
        let operators = size.nodes().map(|id| (id, cluster.operator(id))).collect();
        let changes = Changes::new(cluster.rules_file(), operators);
        Ok(Self {
            cluster,
            links,
            size,
            services,
            down: BTreeSet::new(),
            lives: size.nodes().map(|id| (id, Arc::default())).collect(),
            changes: Arc::new(changes),
            record: Arc::default(),
            findings: Vec::new(),
        })
    }

    fn bring_up(&mut self) -> io::Result<()> {
        let applied = self.cluster.apply(NodeId(1), &rules_text(1), UP)?;
        if !applied.status.success() {
            return Err(io::Error::other(format!("no rules in force: {applied:?}")));
        }
        let missing = self.not_serving(UP, "up");
        match missing.first() {
            None => Ok(()),
            Some(first) => {
                self.cluster.keep_logs();
                Err(io::Error::other(format!("before any fault: {first}")))
            }
        }
    }

    /// What a node does not serve within a time, if all are asked again and again.
    fn not_serving(&self, limit: Duration, name: &str) -> Vec<Finding> {
        let begun = Instant::now();
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
            for what in SERVICES.into_iter().chain(["chat"]) {
                let left = limit.saturating_sub(begun.elapsed());
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

    /// Starts callers, and operators that look at versions.
    fn spawn_load(&self, plan: &Plan, ended: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
        let mut threads = Vec::new();
        for id in 0..u64::from(self.size.callers) {
            let (nodes, record, ended) =
                (self.callers(), Arc::clone(&self.record), Arc::clone(ended));
            let seed = plan.seed.wrapping_mul(1_000).wrapping_add(id);
            let calls = move || load::call_on(seed, &nodes, &record, &ended);
            threads.push(std::thread::spawn(calls));
        }
        for (node, life) in &self.lives {
            let (node, life) = (*node, Arc::clone(life));
            let operator: Operator = self.cluster.operator(node);
            let (record, ended) = (Arc::clone(&self.record), Arc::clone(ended));
            let looks = move || watch::look_on(node, &operator, &life, &record, &ended);
            threads.push(std::thread::spawn(looks));
        }
        threads
    }

    /// Begins and ends each step at its time.
    fn play(&mut self, plan: &Plan) -> io::Result<()> {
        let begun = Instant::now();
        let mut due = BTreeSet::new();
        for (at, step) in plan.steps.iter().enumerate() {
            due.insert((step.at, at, Turn::Begins));
            due.insert((step.at + step.span, at, Turn::Ends));
        }
        for (time, at, turn) in due {
            std::thread::sleep(time.saturating_sub(begun.elapsed()));
            self.find_ended();
            match turn {
                Turn::Begins => self.begin(at, plan.steps[at].trouble)?,
                Turn::Ends => self.end(at, plan.steps[at].trouble)?,
            }
        }
        Ok(())
    }

    fn find_ended(&mut self) {
        for node in self.size.nodes() {
            if !self.down.contains(&node) && self.cluster.node(node).has_ended() {
                self.findings.push(Finding::Ended { node });
                self.down.insert(node);
            }
        }
    }

    fn begin(&mut self, step: usize, trouble: Trouble) -> io::Result<()> {
        match trouble {
            Trouble::Kill(node) => self.kill(node),
            Trouble::Stop(node) => {
                self.cluster.node(node).signal(Signal::TERM);
                self.down.insert(node);
            }
            Trouble::Pause(node) => self.cluster.node(node).signal(Signal::STOP),
            Trouble::Wipe(node) => {
                self.kill(node);
                unless_gone(fs::remove_dir_all(self.cluster.data_folder(node)))?;
            }
            Trouble::Tear(node) => {
                self.kill(node);
                unless_gone(tear(&self.cluster.data_folder(node)))?;
            }
            Trouble::KillHost(host) => self.cluster.host(host).kill(),
            Trouble::PauseHost(host) => self.cluster.host(host).signal(Signal::STOP),
            Trouble::CutOff(node) => {
                for other in self.size.nodes().filter(|other| *other != node) {
                    self.links.set(step, node, other, Way::Lost);
                    self.links.set(step, other, node, Way::Lost);
                }
            }
            Trouble::OneWay { from, to } => self.links.set(step, from, to, Way::Lost),
            Trouble::Slow { from, to } => self.links.set(step, from, to, Way::Late(LATE)),
            Trouble::Reset { from, to } => self.links.set(step, from, to, Way::Reset),
            Trouble::PauseService(at) => self.signal_service(at, Signal::STOP),
            Trouble::Rules => self.change_rules(),
        }
        Ok(())
    }

    fn end(&mut self, step: usize, trouble: Trouble) -> io::Result<()> {
        match trouble {
            Trouble::Kill(node) | Trouble::Stop(node) => self.start(node)?,
            Trouble::Wipe(node) | Trouble::Tear(node) => self.start(node)?,
            Trouble::Pause(node) => self.cluster.node(node).signal(Signal::CONT),
            Trouble::KillHost(id) => self.cluster.start_host(host(self.size, id.0))?,
            Trouble::PauseHost(host) => self.cluster.host(host).signal(Signal::CONT),
            Trouble::PauseService(at) => self.signal_service(at, Signal::CONT),
            Trouble::CutOff(_) | Trouble::OneWay { .. } => self.links.clear(step),
            Trouble::Slow { .. } | Trouble::Reset { .. } => self.links.clear(step),
            Trouble::Rules => {}
        }
        Ok(())
    }

    fn kill(&mut self, node: NodeId) {
        self.cluster.node(node).kill();
        self.down.insert(node);
    }

    fn start(&mut self, node: NodeId) -> io::Result<()> {
        if self.down.remove(&node) {
            self.cluster.node(node).kill();
            self.lives[&node].fetch_add(1, Ordering::SeqCst);
            self.cluster.start_node(node)?;
        }
        Ok(())
    }

    fn signal_service(&mut self, at: usize, signal: Signal) {
        let addr = self.services[at];
        self.cluster.service(addr).signal(signal);
    }

    fn change_rules(&self) {
        let (changes, record) = (Arc::clone(&self.changes), Arc::clone(&self.record));
        std::thread::spawn(move || {
            if let Some(version) = changes.make() {
                let mut record = record.lock().expect("no caller panics");
                record.accepted = record.accepted.max(version);
            }
        });
    }

    /// Ends whatever trouble is left.
    fn heal(&mut self) -> io::Result<()> {
        self.find_ended();
        for node in self.size.nodes() {
            self.start(node)?;
            self.cluster.node(node).signal(Signal::CONT);
        }
        Ok(())
    }

    fn recover(&mut self) {
        let missing = self.not_serving(RECOVERY, "again");
        self.findings.extend(missing);
        let accepted = self.record.lock().expect("no caller panics").accepted;
        let version = |id| self.cluster.config_version(id).unwrap_or(0);
        let all = || self.size.nodes().all(|id| accepted <= version(id));
        wait_until(RECOVERY, all);
        let last = self.size.nodes().map(|id| (id, version(id))).collect();
        self.record.lock().expect("no caller panics").last = last;
    }

    fn report(mut self) -> io::Result<Report> {
        let mut record = self.record.lock().expect("no caller panics").clone();
        for (name, addr) in SERVICES.into_iter().zip(&self.services) {
            let reply = Caller::new(*addr, "-").get("/runs");
            let reply = reply.map_err(|e| io::Error::other(format!("{name} says nothing: {e}")))?;
            let runs = serde_json::from_value(reply.json())?;
            record.runs.insert(name.to_owned(), runs);
        }
        self.findings.extend(check(&record));
        let is_broken = !self.findings.is_empty();
        if is_broken {
            self.cluster.keep_logs();
        }
        Ok(Report {
            findings: self.findings,
            orders: record.orders.len(),
            chats: record.chats.len(),
            accepted: record.accepted,
            folder: is_broken.then(|| self.cluster.folder().to_owned()),
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    Begins,
    Ends,
}

fn host(size: Size, id: u32) -> HostSpec {
    HostSpec::new(id, size.centre(id))
}

/// Adds an unfinished write to the newest part of a log.
fn tear(data: &Path) -> io::Result<()> {
    let mut parts = Vec::new();
    for entry in fs::read_dir(data)? {
        parts.push(entry?.path());
    }
    parts.retain(|path| is_log(path));
    parts.sort();
    let Some(newest) = parts.last() else {
        return Ok(());
    };
    fs::File::options()
        .append(true)
        .open(newest)?
        .write_all(&TORN)
}

/// A voter that was wiped, or was killed before it wrote, has no folder.
fn unless_gone(done: io::Result<()>) -> io::Result<()> {
    match done {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        done => done,
    }
}

fn is_log(path: &Path) -> bool {
    let name = path.file_name().and_then(OsStr::to_str);
    name.is_some_and(|name| name.starts_with("log-"))
}
