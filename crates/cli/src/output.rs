//! Prints replies, as JSON with `--json` and otherwise for people.

use serde::Serialize;

use crate::args::Args;
use crate::exit::Exit;
use crate::table;
use base::Findings;
use base::NodeId;
use wire::deployment::BanRow;
use wire::operator::ClassRow;
use wire::operator::NodeRow;
use wire::operator::OrderRow;
use wire::operator::ReplicaRow;
use wire::operator::ServiceRow;
use wire::operator::StatusReply;
use wire::operator::VoterRow;
use wire::operator::VotersReply;

/// Prints a value if JSON was asked for.
pub fn print_json<Value: Serialize>(args: &Args, value: &Value) {
    if args.json {
        println!("{}", serde_json::to_string(value).unwrap_or_default());
    }
}

/// Prints a line unless JSON was asked for.
pub fn print_text(args: &Args, text: &str) {
    if !args.json {
        println!("{text}");
    }
}

/// Prints what was found to be invalid.
pub fn print_findings(args: &Args, findings: &Findings) -> Exit {
    print_json(args, findings);
    if !args.json {
        eprintln!("{findings}");
    }
    Exit::Invalid
}

/// Prints the state of a node and of its data centre.
pub fn print_status(status: &StatusReply) {
    let or_none = |node: Option<NodeId>| node.map_or("none".to_owned(), |n| n.to_string());
    println!(
        "{} is {}, {} in force",
        status.node, status.phase, status.version
    );
    println!("leader of the voters: {}", or_none(status.leader));
    println!(
        "controller of this data centre: {}",
        or_none(status.controller)
    );
    print_nodes(&status.nodes);
    println!("\nreplicas");
    let rows: Vec<_> = status.replicas.iter().map(replica_row).collect();
    table::print(&["replica", "model", "state", "hosts", "requests"], &rows);
    println!("\nstranded hosts");
    let rows = status.stranded.iter();
    let rows: Vec<_> = rows
        .map(|s| vec![s.host.to_string(), s.reason.clone()])
        .collect();
    table::print(&["host", "reason"], &rows);
    println!("\nservices");
    let rows: Vec<_> = status.services.iter().map(service_row).collect();
    table::print(&["service", "centre", "address", "state"], &rows);
    println!("\nclasses at this node");
    let rows: Vec<_> = status.classes.iter().map(class_row).collect();
    table::print(
        &["organisation", "class", "answered", "refused", "running"],
        &rows,
    );
}

/// Prints a table of nodes.
pub fn print_nodes(nodes: &[NodeRow]) {
    let rows: Vec<_> = nodes.iter().map(node_row).collect();
    println!("\nnodes");
    table::print(&["node", "centre", "standing", "version", "role"], &rows);
}

/// Prints the record of an order.
pub fn print_order(record: &OrderRow) {
    let status = record.status.map_or("-".to_owned(), |s| s.to_string());
    table::print(&["state", "status"], &[vec![record.state.clone(), status]]);
}

/// Prints the bans of requests.
pub fn print_bans(bans: &[BanRow]) {
    let rows: Vec<_> = bans.iter().map(ban_row).collect();
    table::print(&["parts", "ended processes"], &rows);
}

fn ban_row(ban: &BanRow) -> Vec<String> {
    let parts: Vec<String> = ban.parts.iter().map(ToString::to_string).collect();
    vec![parts.join(" "), ban.crashes.to_string()]
}

/// Prints the members of the voters' group.
pub fn print_voters(reply: &VotersReply) {
    let rows: Vec<_> = reply.members.iter().map(voter_row).collect();
    table::print(&["node", "duty", "log", "silent", "disk"], &rows);
    let waiting: Vec<_> = reply.waiting.iter().map(ToString::to_string).collect();
    if !waiting.is_empty() {
        println!("waiting to become members: {}", waiting.join(" "));
    }
}

fn node_row(row: &NodeRow) -> Vec<String> {
    let version = row.version.map_or("-".to_owned(), |v| v.to_string());
    let (node, centre) = (row.node.to_string(), row.centre.to_string());
    vec![
        node,
        centre,
        row.standing.clone(),
        version,
        row.role.clone(),
    ]
}

fn replica_row(row: &ReplicaRow) -> Vec<String> {
    let hosts: Vec<_> = row.hosts.iter().map(ToString::to_string).collect();
    let (replica, model) = (row.replica.to_string(), row.model.to_string());
    vec![
        replica,
        model,
        row.state.clone(),
        hosts.join(" "),
        row.requests.to_string(),
    ]
}

fn service_row(row: &ServiceRow) -> Vec<String> {
    let state = if row.leaving { "leaving" } else { "serving" };
    let (service, centre) = (row.service.to_string(), row.centre.to_string());
    vec![service, centre, row.addr.to_string(), state.to_owned()]
}

fn class_row(row: &ClassRow) -> Vec<String> {
    let counts = [
        row.answered.to_string(),
        row.refused.to_string(),
        row.running.to_string(),
    ];
    [row.org.clone(), row.class.clone()]
        .into_iter()
        .chain(counts)
        .collect()
}

fn voter_row(voter: &VoterRow) -> Vec<String> {
    let silent = voter.silent_ms.map(|ms| format!("{ms} ms"));
    vec![
        voter.node.to_string(),
        voter.duty.clone(),
        voter.matched.to_string(),
        silent.unwrap_or("-".to_owned()),
        voter.disk.clone(),
    ]
}
