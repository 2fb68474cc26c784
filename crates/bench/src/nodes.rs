//! The processor time, bytes and memory of idle nodes: nine nodes in three data centres run as
//! processes, with a growing number of hosts that announce themselves.

use std::fs;
use std::time::Duration;

use crate::report::Report;
use crate::report::Table;
use base::DomainId;
use base::NodeId;
use harness::Cluster;
use harness::HostSpec;
use harness::NodeSpec;
use harness::wait_until;

/// The numbers of hosts in each data centre that are measured.
const HOSTS_PER_CENTRE: [u32; 4] = [0, 8, 24, 68];

/// Hosts in each fabric domain.
const HOSTS_PER_DOMAIN: u32 = 17;

/// The longest wait until leases are taken, orders carried out and replicas loaded.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long the nodes are measured.
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// Clock ticks a second, the unit of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

const RULES: &str = r#"
[orgs]
lantern = { weight = 1 }  # Mira, operations

[callers]
stall = { org = "lantern", secret = "sha256:1bf1d02ec7eecc32f4ef6babb6774092e2487b9d7439bd8d6e658004b9ec09de" }  # Asha, stalls

[models]
wide = { width = 8, replicas = 9 }  # Asha, stalls
half = { width = 4, replicas = 15 }  # Asha, stalls
pair = { width = 2, replicas = 18 }  # Asha, stalls
single = { width = 1, replicas = 18 }  # Asha, stalls
"#;

/// What one node uses: processor seconds and bytes since its start or per second, and memory in MB.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu: f64,
    sent: f64,
    received: f64,
    memory: f64,
}

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    let columns = [
        "hosts a centre",
        "replicas",
        "cpu %, mean",
        "cpu %, max",
        "sent B/s, mean",
        "sent B/s, max",
        "received B/s, mean",
        "received B/s, max",
        "memory MB, max",
    ];
    let mut table = Table::new("a node at rest, of nine in three data centres", &columns);
    for hosts in HOSTS_PER_CENTRE {
        match measure(hosts) {
            Ok(row) => table.row(row),
            Err(e) => return failed(seed, &e),
        }
    }
    Report::new("nodes", seed)
        .table(table)
        .note("budget a node: 3.3 % of a core, 12,000 B/s, 128 MB")
        .note("processes do not repeat a seed: figures vary from run to run")
}

fn failed(seed: u64, error: &std::io::Error) -> Report {
    let note = format!("not measured: {error}; run `cargo build --release --workspace` first");
    Report::new("nodes", seed).note(note)
}

fn measure(hosts: u32) -> std::io::Result<Vec<String>> {
    let specs: Vec<NodeSpec> = (1..=9).map(node_spec).collect();
    let mut cluster = Cluster::start(&specs)?;
    for centre in 1..=3 {
        for host in 0..hosts {
            cluster.start_host(host_spec(centre, host))?;
        }
    }
    let applied = cluster.apply(NodeId(1), RULES, Duration::from_secs(20))?;
    if !applied.status.success() {
        return Err(std::io::Error::other("the rules were not accepted"));
    }
    let replicas = wait_for_replicas(&cluster);
    let before: Vec<Usage> = specs
        .iter()
        .map(|s| read_usage(&mut cluster, s.id))
        .collect();
    std::thread::sleep(MEASURED_TIME);
    let after: Vec<Usage> = specs
        .iter()
        .map(|s| read_usage(&mut cluster, s.id))
        .collect();
    let usages: Vec<Usage> = before
        .iter()
        .zip(&after)
        .map(|(b, a)| usage_per_second(b, a))
        .collect();
    Ok(row(hosts, replicas, &usages))
}

/// The specification of a node: each data centre has one voter and two entry nodes.
fn node_spec(id: u32) -> NodeSpec {
    let centre = (id - 1) % 3 + 1;
    match id <= 3 {
        true => NodeSpec::voter(id, centre),
        false => NodeSpec::entry(id, centre),
    }
}

fn host_spec(centre: u32, host: u32) -> HostSpec {
    HostSpec {
        domain: DomainId(host / HOSTS_PER_DOMAIN),
        ..HostSpec::new(centre * 1_000 + host, centre)
    }
}

/// Waits until 60 replicas serve or the time is over, and returns how many serve.
fn wait_for_replicas(cluster: &Cluster) -> usize {
    let serving = || {
        let status = cluster.run_tool_json(NodeId(1), &["status"]);
        let rows = status["replicas"].as_array().cloned().unwrap_or_default();
        rows.iter().filter(|row| row["state"] == "serving").count()
    };
    wait_until(SETTLE_TIMEOUT, || 60 <= serving());
    serving()
}

fn read_usage(cluster: &mut Cluster, node: NodeId) -> Usage {
    let metrics = harness::Caller::new(cluster.internal_addr(node), "-").get("/metrics");
    let text = metrics.map(|reply| reply.body).unwrap_or_default();
    let pid = cluster.node(node).id();
    Usage {
        cpu: cpu_seconds(pid),
        sent: metric(&text, "berylbay_control_sent_bytes"),
        received: metric(&text, "berylbay_control_received_bytes"),
        memory: memory_mb(pid),
    }
}

fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split_whitespace().last());
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

/// The user and system time of a process, in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

fn memory_mb(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    kb.and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

fn usage_per_second(before: &Usage, after: &Usage) -> Usage {
    let seconds = MEASURED_TIME.as_secs_f64();
    Usage {
        cpu: (after.cpu - before.cpu) / seconds,
        sent: (after.sent - before.sent) / seconds,
        received: (after.received - before.received) / seconds,
        memory: after.memory,
    }
}

fn row(hosts: u32, replicas: usize, usages: &[Usage]) -> Vec<String> {
    let mean =
        |value: fn(&Usage) -> f64| usages.iter().map(value).sum::<f64>() / usages.len() as f64;
    let max = |value: fn(&Usage) -> f64| usages.iter().map(value).fold(0.0, f64::max);
    vec![
        hosts.to_string(),
        replicas.to_string(),
        format!("{:.2}", 100.0 * mean(|s| s.cpu)),
        format!("{:.2}", 100.0 * max(|s| s.cpu)),
        format!("{:.0}", mean(|s| s.sent)),
        format!("{:.0}", max(|s| s.sent)),
        format!("{:.0}", mean(|s| s.received)),
        format!("{:.0}", max(|s| s.received)),
        format!("{:.1}", max(|s| s.memory)),
    ]
}
