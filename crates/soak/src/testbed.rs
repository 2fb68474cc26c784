//! The processes of a run: nodes, hosts and services, with proxies between the nodes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::ClusterSize;
use crate::Finding;
use crate::Links;
use crate::Plan;
use crate::Record;
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
pub(crate) const SERVICE_NAMES: [&str; 3] = ["orders", "dispatch", "stock"];

/// Time until all nodes serve. They first wait until leases of an earlier incarnation end.
const START_LIMIT: Duration = Duration::from_secs(60);

/// The processes of a run, the proxies between them, and what was observed.
pub(crate) struct Testbed {
    pub(crate) cluster: Cluster,
    pub(crate) links: Links,
    pub(crate) size: ClusterSize,
    pub(crate) services: Vec<SocketAddr>,
    /// Nodes that were stopped or killed, or exited, and were not yet started again.
    pub(crate) stopped: BTreeSet<NodeId>,
    pub(crate) incarnations: BTreeMap<NodeId, Arc<AtomicU32>>,
    pub(crate) rules_changer: Arc<RulesChanger>,
    pub(crate) record: Arc<Mutex<Record>>,
    pub(crate) findings: Vec<Finding>,
}

impl Testbed {
    pub(crate) fn open(size: ClusterSize) -> io::Result<Self> {
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

    pub(crate) fn start_serving(&mut self) -> io::Result<()> {
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

    /// Retries all services and a chat at each node until `limit`. Returns what was not served.
    pub(crate) fn unserved(&self, limit: Duration, key_prefix: &str) -> Vec<Finding> {
        let started = Instant::now();
        let mut findings = Vec::new();
        for node in self.size.nodes() {
            let caller = self.cluster.caller(node, CALLER);
            let mut count = 0;
            let mut serves = |what: &str| {
                count += 1;
                let key = format!("{key_prefix}-{node}-{count}");
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
    pub(crate) fn spawn_clients(
        &self,
        plan: &Plan,
        ended: &Arc<AtomicBool>,
    ) -> Vec<JoinHandle<()>> {
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

    pub(crate) fn kill_node(&mut self, node: NodeId) {
        self.cluster.node(node).kill();
        self.stopped.insert(node);
    }

    pub(crate) fn restart_if_stopped(&mut self, node: NodeId) -> io::Result<()> {
        if self.stopped.remove(&node) {
            self.cluster.node(node).kill();
            self.incarnations[&node].fetch_add(1, Ordering::SeqCst);
            self.cluster.start_node(node)?;
        }
        Ok(())
    }
}

pub(crate) fn host_spec(size: ClusterSize, id: u32) -> HostSpec {
    HostSpec::new(id, size.centre_of(id))
}
