//! A demonstration: three nodes in two data centres, engines, services, rules, a chat, a
//! stock check, an order and its resend.

use std::process::ExitCode;
use std::time::Duration;

use base::NodeId;
use harness::Cluster;
use harness::HostSpec;
use harness::NodeSpec;
use harness::ServiceSpec;
use harness::rules_text;
use harness::wait_until;

/// Time allowed to start: leases of earlier processes are waited out first.
const START_TIMEOUT: Duration = Duration::from_secs(40);

/// A step of the demo failed.
struct StepFailed(String);

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
    let failed = |e: std::io::Error| StepFailed(format!("a process cannot be started: {e}"));
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

fn run_steps(cluster: &Cluster, orders: std::net::SocketAddr) -> Result<(), StepFailed> {
    let applied = cluster.apply(NodeId(1), &rules_text(1), START_TIMEOUT);
    let applied = applied.map_err(|e| StepFailed(e.to_string()))?;
    print!("rules: {}", String::from_utf8_lossy(&applied.stdout));
    expect(
        applied.status.success(),
        &String::from_utf8_lossy(&applied.stderr),
    )?;

    let far = cluster.caller(NodeId(3), "stall-7");
    let near = cluster.caller(NodeId(1), "stall-7");
    let answered = || {
        near.chat("lantern with a fox", 4)
            .is_ok_and(|r| r.is_done())
    };
    expect(wait_until(START_TIMEOUT, answered), "no chat is answered")?;
    let chat = far
        .chat("a lantern with two foxes", 8)
        .map_err(|e| StepFailed(e.to_string()))?;
    expect(
        chat.is_done(),
        &format!("the chat is not whole: {}", chat.body),
    )?;
    println!(
        "chat:{} (first token after {:?})",
        chat.text(),
        chat.chunk_times[0]
    );

    let stock = far.call("stock", "{\"paper\":\"red\"}", None);
    let stock = stock.map_err(|e| StepFailed(e.to_string()))?;
    expect(stock.status == 200, &format!("stock check: {}", stock.body))?;
    println!("stock: {}", stock.body);

    let first = near.call("orders", "{\"batch\":12}", Some("batch-12"));
    let first = first.map_err(|e| StepFailed(e.to_string()))?;
    expect(
        first.status == 200 && first.ran() == "run",
        &format!("order: {}", first.body),
    )?;
    println!("order: {}", first.body);
    let again = far.call("orders", "{\"batch\":12}", Some("batch-12"));
    let again = again.map_err(|e| StepFailed(e.to_string()))?;
    expect(
        again.status == 200 && again.body == first.body,
        &format!("resend: {}", again.body),
    )?;
    println!("resend at another node: {}", again.body);
    let runs = harness::Caller::new(orders, "stall-7").get("/runs");
    let runs = runs.map_err(|e| StepFailed(e.to_string()))?;
    expect(
        runs.json()["batch-12"] == 1,
        &format!("executions: {}", runs.body),
    )?;
    println!("executions: {}", runs.body);

    for args in [
        &["status"][..],
        &["rules"][..],
        &["order", "--org", "lantern", "batch-12"][..],
    ] {
        let shown = cluster
            .run_tool(NodeId(2), args)
            .map_err(|e| StepFailed(e.to_string()))?;
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
