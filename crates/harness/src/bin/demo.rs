//! A demonstration: three nodes in two data centres, engines, services, rules, a chat, a
//! stock check, an order and its resend.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use base::NodeId;
use harness::Caller;
use harness::Cluster;
use harness::HostSpec;
use harness::NodeSpec;
use harness::Reply;
use harness::ServiceSpec;
use harness::rules_text;
use harness::wait_until;
use net::SendError;

/// Time allowed to start: leases of earlier processes are waited out first.
const START_TIMEOUT: Duration = Duration::from_secs(40);

/// The node of the caller in the first data centre.
const NEAR: NodeId = NodeId(1);

/// The node of the caller in the other data centre.
const FAR: NodeId = NodeId(3);

/// The name of the caller, to which the rules give a contract and the services.
const CALLER: &str = "stall-7";

/// A step of the demo failed.
struct StepFailed(String);

impl From<io::Error> for StepFailed {
    fn from(e: io::Error) -> Self {
        Self(e.to_string())
    }
}

impl From<SendError> for StepFailed {
    fn from(e: SendError) -> Self {
        Self(e.to_string())
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => {
            println!("all steps succeeded");
            ExitCode::SUCCESS
        }
        Err(StepFailed(what)) => {
            eprintln!("step failed: {what}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), StepFailed> {
    let nodes = [
        NodeSpec::voter(1, 1),
        NodeSpec::voter(2, 1),
        NodeSpec::voter(3, 2),
    ];
    let failed = |e: io::Error| StepFailed(format!("a process cannot be started: {e}"));
    let mut cluster = Cluster::start(&nodes).map_err(failed)?;
    println!("three nodes in two data centres started");
    for host in [
        HostSpec::new(1, 1),
        HostSpec::new(2, 1).ignoring_fences(),
        HostSpec::new(3, 2),
    ] {
        cluster.start_host(host).map_err(failed)?;
    }
    let orders = cluster
        .start_service(&ServiceSpec::new("orders", 1))
        .map_err(failed)?;
    cluster
        .start_service(&ServiceSpec::new("stock", 1))
        .map_err(failed)?;
    cluster
        .start_service(&ServiceSpec::new("stock", 2))
        .map_err(failed)?;
    let result = run_steps(&cluster, orders);
    if result.is_err() {
        eprintln!("{}", cluster.logs());
    }
    result
}

fn run_steps(cluster: &Cluster, orders: SocketAddr) -> Result<(), StepFailed> {
    apply_rules(cluster)?;
    chat(cluster)?;
    check_stock(cluster)?;
    let first = order(cluster)?;
    resend_order(cluster, &first)?;
    count_executions(orders)?;
    show_state(cluster)
}

fn apply_rules(cluster: &Cluster) -> Result<(), StepFailed> {
    let applied = cluster.apply(NEAR, &rules_text(1), START_TIMEOUT)?;
    print!("rules: {}", String::from_utf8_lossy(&applied.stdout));
    expect(
        applied.status.success(),
        &String::from_utf8_lossy(&applied.stderr),
    )
}

/// Waits until a chat is answered at one node, then sends one to another.
fn chat(cluster: &Cluster) -> Result<(), StepFailed> {
    let near = cluster.caller(NEAR, CALLER);
    let answered = || {
        near.chat("lantern with a fox", 4)
            .is_ok_and(|r| r.is_done())
    };
    expect(wait_until(START_TIMEOUT, answered), "no chat is answered")?;
    let far = cluster.caller(FAR, CALLER);
    let chat = far.chat("a lantern with two foxes", 8)?;
    expect(
        chat.is_done(),
        &format!("the chat is not whole: {}", chat.body),
    )?;
    println!(
        "chat:{} (first token after {:?})",
        chat.text(),
        chat.chunk_times[0]
    );
    Ok(())
}

fn check_stock(cluster: &Cluster) -> Result<(), StepFailed> {
    let far = cluster.caller(FAR, CALLER);
    let stock = far.call("stock", "{\"paper\":\"red\"}", None)?;
    expect(stock.status == 200, &format!("stock check: {}", stock.body))?;
    println!("stock: {}", stock.body);
    Ok(())
}

/// Sends an order and returns its reply.
fn order(cluster: &Cluster) -> Result<Reply, StepFailed> {
    let near = cluster.caller(NEAR, CALLER);
    let first = near.call("orders", "{\"batch\":12}", Some("batch-12"))?;
    expect(
        first.status == 200 && first.ran() == "run",
        &format!("order: {}", first.body),
    )?;
    println!("order: {}", first.body);
    Ok(first)
}

/// Sends the order again to another node, which gives the same reply.
fn resend_order(cluster: &Cluster, first: &Reply) -> Result<(), StepFailed> {
    let far = cluster.caller(FAR, CALLER);
    let again = far.call("orders", "{\"batch\":12}", Some("batch-12"))?;
    expect(
        again.status == 200 && again.body == first.body,
        &format!("resend: {}", again.body),
    )?;
    println!("resend at another node: {}", again.body);
    Ok(())
}

/// Asks the service how often the order ran.
fn count_executions(orders: SocketAddr) -> Result<(), StepFailed> {
    let runs = Caller::new(orders, CALLER).get("/runs")?;
    expect(
        runs.json()["batch-12"] == 1,
        &format!("executions: {}", runs.body),
    )?;
    println!("executions: {}", runs.body);
    Ok(())
}

/// Shows what the operators' tool reports.
fn show_state(cluster: &Cluster) -> Result<(), StepFailed> {
    for args in [
        &["status"][..],
        &["rules"][..],
        &["order", "--org", "lantern", "batch-12"][..],
    ] {
        let shown = cluster.run_tool(NodeId(2), args)?;
        println!(
            "$ berylbay {}\n{}",
            args.join(" "),
            String::from_utf8_lossy(&shown.stdout)
        );
        expect(
            shown.status.success(),
            &String::from_utf8_lossy(&shown.stderr),
        )?;
    }
    Ok(())
}

fn expect(holds: bool, error: &str) -> Result<(), StepFailed> {
    match holds {
        true => Ok(()),
        false => Err(StepFailed(error.to_owned())),
    }
}
