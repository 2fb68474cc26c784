//! A set of processes that share one temporary folder.

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
use base::CentreId;
use base::HostId;
use base::NodeId;

const PEER_SECRET: &str = "peers-0123456789abcdef";
const UPSTREAM_SECRET: &str = "upstreams-0123456789abcdef";
const OPERATOR_SECRET: &str = "operators-0123456789abcdef";

/// Time allowed for a process to listen or to end.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// What a node logs once it serves.
const STARTED: &str = "[100]";
/// What a stand-in prints before its address.
const LISTENS_ON: &str = " listens on ";
/// The error of a process whose port is taken.
const PORT_IN_USE: &str = "Address already in use";

/// Nodes, hosts and services, each a process that ends with the cluster.
#[derive(Debug)]
pub struct Cluster {
    folder: PathBuf,
    /// The address at which the first node of a pair reaches the second one.
    link_addrs: BTreeMap<(NodeId, NodeId), SocketAddr>,
    keeps_logs: bool,
    specs: BTreeMap<NodeId, NodeSpec>,
    node_addrs: BTreeMap<NodeId, NodeAddrs>,
    nodes: BTreeMap<NodeId, Process>,
    hosts: BTreeMap<HostId, Process>,
    host_addrs: BTreeMap<HostId, SocketAddr>,
    services: Vec<(SocketAddr, Process)>,
}

#[derive(Clone, Copy, Debug)]
struct NodeAddrs {
    callers: SocketAddr,
    internal: SocketAddr,
}

impl Cluster {
    /// Starts the nodes. Retries with other ports if one was taken meanwhile.
    pub fn start(specs: &[NodeSpec]) -> io::Result<Self> {
        Self::start_with_links(specs, |_, _, addr| Ok(addr))
    }

    /// Starts the nodes with proxies between them: `link_addr` returns where the first node
    /// reaches the second one, which listens at the address.
    pub fn start_with_links(
        specs: &[NodeSpec],
        mut link_addr: impl FnMut(NodeId, NodeId, SocketAddr) -> io::Result<SocketAddr>,
    ) -> io::Result<Self> {
        loop {
            let mut cluster = Self::start_once(specs, &mut link_addr)?;
            if !cluster.lost_a_port() {
                return Ok(cluster);
            }
        }
    }

    fn start_once(
        specs: &[NodeSpec],
        link_addr: &mut impl FnMut(NodeId, NodeId, SocketAddr) -> io::Result<SocketAddr>,
    ) -> io::Result<Self> {
        let mut cluster = Self {
            folder: new_folder()?,
            link_addrs: BTreeMap::new(),
            keeps_logs: std::env::var_os("KEEP_LOGS").is_some(),
            specs: specs.iter().map(|spec| (spec.id, *spec)).collect(),
            node_addrs: BTreeMap::new(),
            nodes: BTreeMap::new(),
            hosts: BTreeMap::new(),
            host_addrs: BTreeMap::new(),
            services: Vec::new(),
        };
        for spec in specs {
            let addrs = NodeAddrs {
                callers: free_addr(),
                internal: free_addr(),
            };
            cluster.node_addrs.insert(spec.id, addrs);
        }
        for (from, to) in pairs(specs) {
            let addr = link_addr(from, to, cluster.node_addrs[&to].internal)?;
            cluster.link_addrs.insert((from, to), addr);
        }
        for (name, secret) in [
            ("peers", PEER_SECRET),
            ("upstreams", UPSTREAM_SECRET),
            ("operators", OPERATOR_SECRET),
        ] {
            fs::write(cluster.folder.join(name), secret)?;
        }
        for spec in specs {
            fs::write(cluster.settings_file(spec.id), cluster.settings_text(spec))?;
            cluster.start_node(spec.id)?;
        }
        Ok(cluster)
    }

    /// Whether a node ended because its port was in use, once each has started or ended.
    fn lost_a_port(&mut self) -> bool {
        let mut lost_port = |node: &mut Process| {
            wait_until(START_TIMEOUT, || {
                node.has_ended() || node.log().contains(STARTED)
            });
            node.has_ended() && node.log().contains(PORT_IN_USE)
        };
        self.nodes.values_mut().any(&mut lost_port)
    }

    /// Starts a node that is not running.
    pub fn start_node(&mut self, id: NodeId) -> io::Result<()> {
        let settings = self.settings_file(id).display().to_string();
        let args = ["--settings".to_owned(), settings];
        let log = self.folder.join(format!("{id}.log"));
        let process = Process::spawn("berylbayd", &args, &log)?;
        self.nodes.insert(id, process);
        Ok(())
    }

    /// Starts a host of an engine.
    pub fn start_host(&mut self, spec: HostSpec) -> io::Result<()> {
        let log_name = spec.id.to_string();
        let (addr, process) = self.spawn_standin(spec.args(), spec.centre, &log_name)?;
        self.hosts.insert(spec.id, process);
        self.host_addrs.insert(spec.id, addr);
        Ok(())
    }

    /// Starts a process of a service and returns its address.
    pub fn start_service(&mut self, spec: &ServiceSpec) -> io::Result<SocketAddr> {
        let log_name = format!("{}-{}", spec.name, self.services.len());
        let (addr, process) = self.spawn_standin(spec.args(), spec.centre, &log_name)?;
        self.services.push((addr, process));
        Ok(addr)
    }

    /// Starts a stand-in that announces itself to the entry nodes of its data centre.
    fn spawn_standin(
        &self,
        mut args: Vec<String>,
        centre: CentreId,
        log_name: &str,
    ) -> io::Result<(SocketAddr, Process)> {
        let secret_file = self.folder.join("upstreams").display().to_string();
        args.extend(["--secret-file".to_owned(), secret_file]);
        for addr in self.entry_addrs(centre) {
            args.extend(["--entry".to_owned(), addr.to_string()]);
        }
        let log = self.folder.join(format!("{log_name}.log"));
        let process = Process::spawn("standin", &args, &log)?;
        let addr = listening_addr(&process)?;
        Ok((addr, process))
    }

    /// The process of a node.
    pub fn node(&mut self, id: NodeId) -> &mut Process {
        self.nodes.get_mut(&id).expect("the node was started")
    }

    /// The process of a host.
    pub fn host(&mut self, id: HostId) -> &mut Process {
        self.hosts.get_mut(&id).expect("the host was started")
    }

    /// The address of a host's engine.
    pub fn host_addr(&self, id: HostId) -> SocketAddr {
        self.host_addrs[&id]
    }

    /// The secret that upstreams and nodes share.
    pub fn upstream_secret(&self) -> &'static str {
        UPSTREAM_SECRET
    }

    /// The process of the service at an address.
    pub fn service(&mut self, addr: SocketAddr) -> &mut Process {
        let found = self.services.iter_mut().find(|(own, _)| *own == addr);
        &mut found.expect("the service was started").1
    }

    /// The data folder of a node.
    pub fn data_folder(&self, id: NodeId) -> PathBuf {
        self.folder.join(id.to_string())
    }

    /// A node's address for callers.
    pub fn callers_addr(&self, id: NodeId) -> SocketAddr {
        self.node_addrs[&id].callers
    }

    /// A node's address for other processes.
    pub fn internal_addr(&self, id: NodeId) -> SocketAddr {
        self.node_addrs[&id].internal
    }

    /// Creates a caller at a node.
    pub fn caller(&self, id: NodeId, name: &str) -> Caller {
        Caller::new(self.node_addrs[&id].callers, name)
    }

    /// The folder of settings, secrets and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Keeps the temporary folder when the cluster is dropped.
    pub fn keep_logs(&mut self) {
        self.keeps_logs = true;
    }

    /// Creates an operator at a node.
    pub fn operator(&self, node: NodeId) -> Operator {
        Operator::new(
            self.node_addrs[&node].internal,
            self.folder.join("operators"),
        )
    }

    /// Runs the operators' tool against a node.
    pub fn run_tool(&self, node: NodeId, args: &[&str]) -> io::Result<Output> {
        self.operator(node).run_tool(args)
    }

    /// Returns the JSON output of the operators' tool, null if it fails.
    pub fn run_tool_json(&self, node: NodeId, args: &[&str]) -> serde_json::Value {
        self.operator(node).run_tool_json(args)
    }

    /// The leader of the voters, as the node `seen_by` reports it.
    pub fn leader(&self, seen_by: NodeId) -> Option<NodeId> {
        let leader = self.run_tool_json(seen_by, &["status"])["leader"].as_u64()?;
        u32::try_from(leader).ok().map(NodeId)
    }

    /// The version of the configuration in force at a node.
    pub fn config_version(&self, node: NodeId) -> Option<u64> {
        self.operator(node).config_version()
    }

    /// Writes a rules file and applies it. Retries for at most `time_limit`, until the voters
    /// have a leader.
    pub fn apply(&self, node: NodeId, text: &str, time_limit: Duration) -> io::Result<Output> {
        let file = self.rules_file();
        fs::write(&file, text)?;
        let file = file.display().to_string();
        let start = Instant::now();
        loop {
            let output = self.run_tool(node, &["apply", &file])?;
            if output.status.success() || time_limit <= start.elapsed() {
                return Ok(output);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// The rules file that [`Cluster::apply`] writes.
    pub fn rules_file(&self) -> PathBuf {
        self.folder.join("rules.toml")
    }

    /// The output of nodes and hosts, for a failed test.
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

    fn entry_addrs(&self, centre: CentreId) -> Vec<SocketAddr> {
        let here = self.specs.values().filter(|spec| spec.centre == centre);
        here.map(|spec| self.node_addrs[&spec.id].internal)
            .collect()
    }

    fn settings_file(&self, id: NodeId) -> PathBuf {
        self.folder.join(format!("{id}.toml"))
    }

    fn settings_text(&self, spec: &NodeSpec) -> String {
        let addrs = self.node_addrs[&spec.id];
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
            let own = self.node_addrs[id].internal;
            let internal = self.link_addrs.get(&(spec.id, *id)).unwrap_or(&own);
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

/// Waits until `done` returns true, at most for `time_limit`. Returns whether it did.
pub fn wait_until(time_limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < time_limit {
        if done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    done()
}

/// The address that a stand-in prints; it chooses its own port.
fn listening_addr(process: &Process) -> io::Result<SocketAddr> {
    let printed_addr = || {
        let log = process.log();
        let (_, rest) = log.split_once(LISTENS_ON)?;
        let (addr, _) = rest.split_once('\n')?;
        addr.parse().ok()
    };
    wait_until(START_TIMEOUT, || printed_addr().is_some());
    printed_addr().ok_or_else(|| io::Error::other(format!("no address in {:?}", process.log())))
}

/// All ordered pairs of different nodes.
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
