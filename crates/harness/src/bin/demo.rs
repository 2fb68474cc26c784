//! The main job, from one end to the other: three nodes in two data centres,
//! engines, services, rules, a chat, a stock check, an order and its resend.

use std::process::ExitCode;
use std::time::Duration;

use base::NodeId;
use harness::Cluster;
use harness::HostSpec;
use harness::NodeSpec;
use harness::ServiceSpec;
use harness::rules_text;
use harness::wait_until;

/// Time allowed to come up: leases of an earlier life are waited out first.
const UP: Duration = Duration::from_secs(40);

/// A step that went otherwise than it should.
struct Differs(String);

fn main() -> ExitCode {
    match run() {
        Ok(()) => {
            println!("all as it should be");
            ExitCode::SUCCESS
        }
        Err(Differs(what)) => {
            eprintln!("differs: {what}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Differs> {
    let nodes = [
        NodeSpec::voter(1, 1),
        NodeSpec::voter(2, 1),
        NodeSpec::voter(3, 2),
    ];
    let failed = |e: std::io::Error| Differs(format!("a process cannot be started: {e}"));
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
    let done = steps(&cluster, orders);
    if done.is_err() {
        eprintln!("{}", cluster.logs());
    }
    done
}

fn steps(cluster: &Cluster, orders: std::net::SocketAddr) -> Result<(), Differs> {
    let applied = cluster.apply(NodeId(1), &rules_text(1), UP);
    let applied = applied.map_err(|e| Differs(e.to_string()))?;
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
    expect(wait_until(UP, answered), "no chat is answered")?;
    let chat = far
        .chat("a lantern with two foxes", 8)
        .map_err(|e| Differs(e.to_string()))?;
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
    let stock = stock.map_err(|e| Differs(e.to_string()))?;
    expect(stock.status == 200, &format!("stock check: {}", stock.body))?;
    println!("stock: {}", stock.body);

    let first = near.call("orders", "{\"batch\":12}", Some("batch-12"));
    let first = first.map_err(|e| Differs(e.to_string()))?;
    expect(
        first.status == 200 && first.ran() == "run",
        &format!("order: {}", first.body),
    )?;
    println!("order: {}", first.body);
    let again = far.call("orders", "{\"batch\":12}", Some("batch-12"));
    let again = again.map_err(|e| Differs(e.to_string()))?;
    expect(
        again.status == 200 && again.body == first.body,
        &format!("resend: {}", again.body),
    )?;
    println!("resend at another node: {}", again.body);
    let runs = harness::Caller::new(orders, "stall-7").get("/runs");
    let runs = runs.map_err(|e| Differs(e.to_string()))?;
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
            .map_err(|e| Differs(e.to_string()))?;
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

fn expect(holds: bool, otherwise: &str) -> Result<(), Differs> {
    match holds {
        true => Ok(()),
        false => Err(Differs(otherwise.to_owned())),
    }
}
