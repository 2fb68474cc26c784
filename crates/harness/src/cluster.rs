//! A set of processes in one temporary folder.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Output;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Caller;
use crate::HostSpec;
use crate::NodeSpec;
use crate::Operator;
use crate::Process;
use crate::ServiceSpec;
use crate::ports::free_addr;
use base::Fencing;
use base::HostId;
use base::NodeId;

const PEER_SECRET: &str = "peers-0123456789abcdef";
const UPSTREAM_SECRET: &str = "upstreams-0123456789abcdef";
const OPERATOR_SECRET: &str = "operators-0123456789abcdef";

/// Time for a process to listen or to end.
const START: Duration = Duration::from_secs(20);
/// What a node logs once it serves.
const STARTED: &str = "[100]";
/// What a stand-in prints before its address.
const LISTENS: &str = " listens on ";
/// What a process prints that found its port taken.
const PORT_IN_USE: &str = "Address already in use";

/// Nodes, hosts and services, each a process. All end with it.
#[derive(Debug)]
pub struct Cluster {
    folder: PathBuf,
    /// Where a node reaches another one, if not at its own address.
    ways: BTreeMap<(NodeId, NodeId), SocketAddr>,
    keeps_logs: bool,
    specs: BTreeMap<NodeId, NodeSpec>,
    addrs: BTreeMap<NodeId, Addrs>,
    nodes: BTreeMap<NodeId, Process>,
    hosts: BTreeMap<HostId, Process>,
    host_addrs: BTreeMap<HostId, SocketAddr>,
    services: Vec<(SocketAddr, Process)>,
}

#[derive(Clone, Copy, Debug)]
struct Addrs {
    callers: SocketAddr,
    internal: SocketAddr,
}

impl Cluster {
    /// Starts the nodes. Takes other ports if another process was quicker at one.
    pub fn start(specs: &[NodeSpec]) -> io::Result<Self> {
        Self::start_with_links(specs, |_, _, addr| Ok(addr))
    }

    /// The same with something between the nodes: `way` gives where the first node
    /// reaches the second one, which listens at the address.
    pub fn start_with_links(
        specs: &[NodeSpec],
        mut way: impl FnMut(NodeId, NodeId, SocketAddr) -> io::Result<SocketAddr>,
    ) -> io::Result<Self> {
        loop {
            let mut cluster = Self::start_once(specs, &mut way)?;
            if !cluster.lost_a_port() {
                return Ok(cluster);
            }
        }
    }

    fn start_once(
        specs: &[NodeSpec],
        way: &mut impl FnMut(NodeId, NodeId, SocketAddr) -> io::Result<SocketAddr>,
    ) -> io::Result<Self> {
        let mut cluster = Self {
            folder: new_folder()?,
            ways: BTreeMap::new(),
            keeps_logs: std::env::var_os("KEEP_LOGS").is_some(),
            specs: specs.iter().map(|spec| (spec.id, *spec)).collect(),
            addrs: BTreeMap::new(),
            nodes: BTreeMap::new(),
            hosts: BTreeMap::new(),
            host_addrs: BTreeMap::new(),
            services: Vec::new(),
        };
        for spec in specs {
            let addrs = Addrs {
                callers: free_addr(),
                internal: free_addr(),
            };
            cluster.addrs.insert(spec.id, addrs);
        }
        for (from, to) in pairs(specs) {
            let addr = way(from, to, cluster.addrs[&to].internal)?;
            cluster.ways.insert((from, to), addr);
        }
        for (name, secret) in [
            ("peers", PEER_SECRET),
            ("upstreams", UPSTREAM_SECRET),
            ("operators", OPERATOR_SECRET),
        ] {
            fs::write(cluster.folder.join(name), secret)?;
        }
        for spec in specs {
            fs::write(cluster.settings_file(spec.id), cluster.settings(spec))?;
            cluster.start_node(spec.id)?;
        }
        Ok(cluster)
    }

    /// Whether a node ended because its port was in use, once each has started or ended.
    fn lost_a_port(&mut self) -> bool {
        let mut started = |node: &mut Process| {
            wait_until(START, || node.has_ended() || node.log().contains(STARTED));
            node.has_ended() && node.log().contains(PORT_IN_USE)
        };
        self.nodes.values_mut().any(&mut started)
    }

    /// Starts a node that is not running, or starts it again.
    pub fn start_node(&mut self, id: NodeId) -> io::Result<()> {
        let settings = self.settings_file(id).display().to_string();
        let args = ["--settings".to_owned(), settings];
        let log = self.folder.join(format!("{id}.log"));
        let process = Process::spawn("berylbayd", &args, &log)?;
        self.nodes.insert(id, process);
        Ok(())
    }

    /// Starts one host of an engine.
    pub fn start_host(&mut self, spec: HostSpec) -> io::Result<()> {
        let mut args = vec!["engine".to_owned()];
        let mut add = |name: &str, value: String| args.extend([name.to_owned(), value]);
        add("--host", spec.id.to_string());
        add("--centre", spec.centre.to_string());
        add("--domain", spec.domain.to_string());
        add("--step-ms", spec.step_ms.to_string());
        add("--slots", spec.slots.to_string());
        add("--prefill", spec.prefill.to_string());
        add(
            "--secret-file",
            self.folder.join("upstreams").display().to_string(),
        );
        for addr in self.entries_of(spec.centre) {
            add("--entry", addr.to_string());
        }
        if spec.fencing == Fencing::Checked {
            args.push("--check-fences".to_owned());
        }
        args.extend(spec.fault.args());
        let log = self.folder.join(format!("{}.log", spec.id));
        let process = Process::spawn("standin", &args, &log)?;
        let addr = listening_addr(&process)?;
        self.hosts.insert(spec.id, process);
        self.host_addrs.insert(spec.id, addr);
        Ok(())
    }

    /// Starts one process of a service and gives its address.
    pub fn start_service(&mut self, spec: &ServiceSpec) -> io::Result<SocketAddr> {
        let mut args = vec!["service".to_owned()];
        let mut add = |name: &str, value: String| args.extend([name.to_owned(), value]);
        add("--name", spec.name.clone());
        add("--centre", spec.centre.to_string());
        add("--delay-ms", spec.delay_ms.to_string());
        add("--drop-answers", spec.drop_answers.to_string());
        add(
            "--secret-file",
            self.folder.join("upstreams").display().to_string(),
        );
        for entry in self.entries_of(spec.centre) {
            add("--entry", entry.to_string());
        }
        let number = self.services.len();
        let log = self.folder.join(format!("{}-{number}.log", spec.name));
        let process = Process::spawn("standin", &args, &log)?;
        let addr = listening_addr(&process)?;
        self.services.push((addr, process));
        Ok(addr)
    }

    /// A node's process.
    pub fn node(&mut self, id: NodeId) -> &mut Process {
        self.nodes.get_mut(&id).expect("the node was started")
    }

    /// A host's process.
    pub fn host(&mut self, id: HostId) -> &mut Process {
        self.hosts.get_mut(&id).expect("the host was started")
    }

    /// Where a host's engine listens.
    pub fn host_addr(&self, id: HostId) -> SocketAddr {
        self.host_addrs[&id]
    }

    /// The secret that upstreams and nodes name themselves to each other by.
    pub fn upstream_secret(&self) -> &'static str {
        UPSTREAM_SECRET
    }

    /// A service's process, by its address.
    pub fn service(&mut self, addr: SocketAddr) -> &mut Process {
        let found = self.services.iter_mut().find(|(at, _)| *at == addr);
        &mut found.expect("the service was started").1
    }

    /// A node's folder for durable state.
    pub fn data_folder(&self, id: NodeId) -> PathBuf {
        self.folder.join(id.to_string())
    }

    /// Where callers reach a node.
    pub fn callers_addr(&self, id: NodeId) -> SocketAddr {
        self.addrs[&id].callers
    }

    /// Where other processes reach a node.
    pub fn internal_addr(&self, id: NodeId) -> SocketAddr {
        self.addrs[&id].internal
    }

    /// A caller at a node.
    pub fn caller(&self, id: NodeId, name: &str) -> Caller {
        Caller::new(self.addrs[&id].callers, name)
    }

    /// The folder of settings, secrets and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Leaves settings, state and logs in the folder at the end.
    pub fn keep_logs(&mut self) {
        self.keeps_logs = true;
    }

    /// An operator at one node.
    pub fn operator(&self, node: NodeId) -> Operator {
        Operator::new(self.addrs[&node].internal, self.folder.join("operators"))
    }

    /// Runs the operators' tool against one node.
    pub fn run_tool(&self, node: NodeId, args: &[&str]) -> io::Result<Output> {
        self.operator(node).run_tool(args)
    }

    /// What the operators' tool shows as JSON.
    pub fn run_tool_json(&self, node: NodeId, args: &[&str]) -> serde_json::Value {
        self.operator(node).run_tool_json(args)
    }

    /// The node that leads the voters, as another one sees it.
    pub fn leader(&self, seen_by: NodeId) -> Option<NodeId> {
        let leader = self.run_tool_json(seen_by, &["status"])["leader"].as_u64()?;
        u32::try_from(leader).ok().map(NodeId)
    }

    /// The version of the configuration in force at a node.
    pub fn config_version(&self, node: NodeId) -> Option<u64> {
        self.operator(node).config_version()
    }

    /// Writes a rules file and puts it in force. Tries again until the voters have a leader.
    pub fn apply(&self, node: NodeId, text: &str, limit: Duration) -> io::Result<Output> {
        let file = self.rules_file();
        fs::write(&file, text)?;
        let file = file.display().to_string();
        let start = Instant::now();
        loop {
            let output = self.run_tool(node, &["apply", &file])?;
            if output.status.success() || limit <= start.elapsed() {
                return Ok(output);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// The rules file that [`Cluster::apply`] writes.
    pub fn rules_file(&self) -> PathBuf {
        self.folder.join("rules.toml")
    }

    /// What all processes wrote, for a failed test.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for (id, process) in &self.nodes {
            text += &format!("--- {id}\n{}\n", process.log());
        }
        for (id, process) in &self.hosts {
            text += &format!("--- {id}\n{}\n", process.log());
        }
        text
    }

    fn entries_of(&self, centre: base::CentreId) -> Vec<SocketAddr> {
        let here = self.specs.values().filter(|spec| spec.centre == centre);
        here.map(|spec| self.addrs[&spec.id].internal).collect()
    }

    fn settings_file(&self, id: NodeId) -> PathBuf {
        self.folder.join(format!("{id}.toml"))
    }

    fn settings(&self, spec: &NodeSpec) -> String {
        let addrs = self.addrs[&spec.id];
        let mut text = format!(
            "[node]\nid = \"{}\"\ncentre = \"{}\"\ncallers = \"{}\"\ninternal = \"{}\"\n",
            spec.id, spec.centre, addrs.callers, addrs.internal
        );
        if spec.voter {
            text += &format!("data = \"{}\"\n", spec.id);
        }
        text += "\n[secrets]\npeers = \"peers\"\nupstreams = \"upstreams\"\n";
        text += "operators = \"operators\"\n\n[limits]\nnotice = \"300ms\"\n";
        text += spec.limits;
        for (id, peer) in &self.specs {
            let own = self.addrs[id].internal;
            let internal = self.ways.get(&(spec.id, *id)).unwrap_or(&own);
            text += &format!("\n[peers.{id}]\ncentre = \"{}\"\n", peer.centre);
            text += &format!("internal = \"{internal}\"\nvoter = {}\n", peer.voter);
        }
        text
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.services.clear();
        self.hosts.clear();
        self.nodes.clear();
        if !self.keeps_logs {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until `done`, at most for `limit`. True if it came to be.
pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    done()
}

/// Where a stand-in says that it listens, on a port that it took itself.
fn listening_addr(process: &Process) -> io::Result<SocketAddr> {
    let said = || {
        let log = process.log();
        let (_, rest) = log.split_once(LISTENS)?;
        let (addr, _) = rest.split_once('\n')?;
        addr.parse().ok()
    };
    wait_until(START, || said().is_some());
    said().ok_or_else(|| io::Error::other(format!("no address in {:?}", process.log())))
}

/// Each node with each other one.
fn pairs(specs: &[NodeSpec]) -> Vec<(NodeId, NodeId)> {
    let ids = || specs.iter().map(|spec| spec.id);
    let pairs = ids().flat_map(|from| ids().map(move |to| (from, to)));
    pairs.filter(|(from, to)| from != to).collect()
}

fn new_folder() -> io::Result<PathBuf> {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("berylbay-{}-{count}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder)?;
    Ok(folder)
}
