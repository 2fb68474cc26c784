//! Starts one node and one engine with many slots as processes.

use std::net::SocketAddr;
use std::time::Duration;

use compio::runtime::Runtime;

use base::Assignment;
use base::Duty;
use base::HostId;
use base::NodeId;
use harness::Caller;
use harness::Cluster;
use harness::HostSpec;
use harness::NodeSpec;
use harness::program_path;
use harness::rules_text;
use harness::wait_until;
use net::RpcClient;
use wire::engine::AskDuty;
use wire::engine::FENCE_HEADER;
use wire::engine::REPLICA_HEADER;
use wire::engine::REQUEST_ID_HEADER;

const NODE: NodeId = NodeId(1);
const HOST: HostId = HostId(1);
/// How long to wait for the rules to be applied, and then for the first chat to be served.
const START_TIMEOUT: Duration = Duration::from_secs(60);
const PROGRAMS: [&str; 3] = ["berylbayd", "berylbay", "standin"];

/// The processes, with callers that reach the engine directly and through the node.
pub struct Testbed {
    /// The process id of the node.
    pub node_pid: u32,
    /// The process id of the engine.
    pub engine_pid: u32,
    cluster: Cluster,
    assignment: Assignment,
}

impl Testbed {
    /// Starts the processes and waits until a chat is served.
    pub fn open() -> Result<Self, String> {
        if PROGRAMS.iter().any(|name| !program_path(name).exists()) {
            return Err("run `cargo build --release --workspace` first".to_owned());
        }
        let to_text = |e: std::io::Error| e.to_string();
        let mut cluster = Cluster::start(&[NodeSpec::voter(NODE.0, 1)]).map_err(to_text)?;
        let host = HostSpec::new(HOST.0, 1).slots(1_000).prefill(10_000_000);
        cluster.start_host(host).map_err(to_text)?;
        let applied = cluster
            .apply(NODE, &rules_text(1), START_TIMEOUT)
            .map_err(to_text)?;
        let caller = cluster.caller(NODE, "stall-7");
        let served = || caller.chat("up?", 1).is_ok_and(|reply| reply.is_done());
        if !applied.status.success() || !wait_until(START_TIMEOUT, served) {
            return Err(format!("no chat was served\n{}", cluster.logs()));
        }
        let assignment = assignment(cluster.host_addr(HOST), cluster.upstream_secret());
        let assignment = assignment.ok_or("the engine serves no replica")?;
        Ok(Self {
            node_pid: cluster.node(NODE).id(),
            engine_pid: cluster.host(HOST).id(),
            cluster,
            assignment,
        })
    }

    /// A caller that reaches the engine through the entry node.
    pub fn entry(&self) -> Caller {
        self.cluster.caller(NODE, "stall-7")
    }

    /// A caller that reaches the engine directly.
    pub fn direct(&self) -> Caller {
        let addr = self.cluster.host_addr(HOST);
        Caller::with_secret(addr, self.cluster.upstream_secret())
            .with_header(REQUEST_ID_HEADER, "direct")
            .with_header(REPLICA_HEADER, &self.assignment.replica.to_string())
            .with_header(FENCE_HEADER, &self.assignment.fence.to_string())
    }
}

/// Asks the engine for the replica that it serves.
fn assignment(engine: SocketAddr, secret: &str) -> Option<Assignment> {
    let client = RpcClient::new(secret).ok()?;
    let ask = AskDuty { host: HOST };
    let runtime = Runtime::new().ok()?;
    let duty = runtime.block_on(client.call(engine, &ask, Duration::from_secs(5)));
    match duty.ok()? {
        Duty::Ready(assignment) => Some(assignment),
        Duty::Idle | Duty::Loading(_) => None,
    }
}
