//! Runs the commands.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;

use crate::args::ApplyArgs;
use crate::args::Args;
use crate::args::CheckArgs;
use crate::args::Command;
use crate::args::OrderArgs;
use crate::args::RulesArgs;
use crate::args::VotersArgs;
use crate::exit::CliError;
use crate::exit::Exit;
use crate::node_client::NodeClient;
use crate::saved_state::SavedState;
use crate::table;
use base::Findings;
use base::Version;
use rules::Rules;
use wire::operator::Apply;
use wire::operator::ApplyReply;
use wire::operator::ChangeVoters;
use wire::operator::FindOrder;
use wire::operator::NodeRow;
use wire::operator::OrderRow;
use wire::operator::ShowRules;
use wire::operator::ShowStatus;
use wire::operator::ShowVoters;
use wire::operator::StatusReply;
use wire::operator::VoterRow;
use wire::operator::VotersReply;

/// Runs the command of the command line.
pub async fn run(args: Args) -> Result<Exit, CliError> {
    match &args.command {
        None => Err(CliError::Missing { what: "a command" }),
        Some(Command::Check(check)) => self::check(&args, check),
        Some(Command::Apply(apply)) => self::apply(&args, apply).await,
        Some(Command::Rules(rules)) => self::rules(&args, rules).await,
        Some(Command::Status(_)) => status(&args).await,
        Some(Command::Order(order)) => self::order(&args, order).await,
        Some(Command::Voters(voters)) => self::voters(&args, voters).await,
    }
}

fn check(args: &Args, check: &CheckArgs) -> Result<Exit, CliError> {
    let (file, text) = read_rules_file(check.file.as_ref())?;
    match Rules::parse(&file, &text) {
        Ok(_) => {
            println!("{}: no findings", file.display());
            Ok(Exit::Done)
        }
        Err(findings) => Ok(print_findings(args, &findings)),
    }
}

async fn apply(args: &Args, apply: &ApplyArgs) -> Result<Exit, CliError> {
    let (file, text) = read_rules_file(apply.file.as_ref())?;
    if let Err(findings) = Rules::parse(&file, &text) {
        return Ok(print_findings(args, &findings));
    }
    let client = NodeClient::open(args)?;
    let mut saved = SavedState::read(&file)?;
    let base = apply.base.unwrap_or(saved.base);
    let sent = saved.change_to_send(base, &text);
    saved.sent = Some(sent.clone());
    saved.write(&file)?;
    let call = Apply {
        change: sent.change,
        base: sent.base,
        text: sent.text,
    };
    let reply = client.call(&call).await?;
    print_json(args, &reply);
    saved.sent = None;
    let exit = match &reply {
        ApplyReply::Accepted { version } => {
            print_text(args, &format!("accepted as {version}"));
            saved.base = *version;
            Exit::Done
        }
        ApplyReply::Conflict { winner, version } => {
            let winner = winner.map_or("another change".to_owned(), |w| format!("change {w}"));
            let next = "fetch it with `berylbay rules --write FILE`, edit and apply again";
            print_text(
                args,
                &format!("not accepted: {winner} made {version}; {next}"),
            );
            Exit::Conflict
        }
        ApplyReply::Reused => {
            print_text(
                args,
                "not accepted: the change's id was used for other contents",
            );
            Exit::Conflict
        }
        ApplyReply::Forgotten { version } => {
            print_text(
                args,
                &format!("unknown: the change is too old to have a record; {version} is in force"),
            );
            Exit::Unknown
        }
        ApplyReply::Rejected { findings } => {
            print_text(args, &findings.to_string());
            Exit::Invalid
        }
    };
    saved.write(&file)?;
    Ok(exit)
}

async fn rules(args: &Args, rules: &RulesArgs) -> Result<Exit, CliError> {
    let reply = NodeClient::open(args)?.query(&ShowRules {}).await?;
    if let Some(file) = &rules.write {
        write_rules_file(file, &reply.text, reply.version)?;
        print_text(args, &format!("{} holds {}", file.display(), reply.version));
        return Ok(Exit::Done);
    }
    print_json(args, &reply);
    print_text(
        args,
        &format!("{} in force\n\n{}", reply.version, reply.text),
    );
    if !args.json {
        print_nodes(&reply.nodes);
    }
    Ok(Exit::Done)
}

async fn status(args: &Args) -> Result<Exit, CliError> {
    let reply = NodeClient::open(args)?.query(&ShowStatus {}).await?;
    print_json(args, &reply);
    if !args.json {
        print_status(&reply);
    }
    Ok(Exit::Done)
}

async fn order(args: &Args, order: &OrderArgs) -> Result<Exit, CliError> {
    let missing = |what| CliError::Missing { what };
    let call = FindOrder {
        org: order.org.clone().ok_or(missing("--org"))?,
        key: order.key.clone().ok_or(missing("the order's key"))?,
    };
    let reply = NodeClient::open(args)?.query(&call).await?;
    print_json(args, &reply);
    if !args.json {
        match &reply.record {
            Some(record) => print_order(record),
            None => println!("no record: it did not run, or its retention is over"),
        }
    }
    Ok(Exit::Done)
}

async fn voters(args: &Args, voters: &VotersArgs) -> Result<Exit, CliError> {
    let client = NodeClient::open(args)?;
    let add = voters.add.map(ChangeVoters::Add);
    let replace = voters.replace.map(ChangeVoters::Replace);
    let remove = voters.remove.map(ChangeVoters::Remove);
    if let Some(change) = add.or(replace).or(remove) {
        let reply = client.call(&change).await?;
        print_json(args, &reply);
        print_text(
            args,
            &format!(
                "{} has accepted the change; `berylbay voters` shows it",
                reply.leader
            ),
        );
        return Ok(Exit::Done);
    }
    let reply = client.query(&ShowVoters {}).await?;
    print_json(args, &reply);
    if !args.json {
        print_voters(&reply);
    }
    Ok(Exit::Done)
}

fn print_voters(reply: &VotersReply) {
    let row = |voter: &VoterRow| {
        let silent = voter
            .silent_ms
            .map_or("-".to_owned(), |ms| format!("{ms} ms"));
        let matched = voter.matched.to_string();
        vec![
            voter.node.to_string(),
            voter.duty.clone(),
            matched,
            silent,
            voter.disk.clone(),
        ]
    };
    let rows: Vec<_> = reply.members.iter().map(row).collect();
    table::print(&["node", "duty", "log", "silent", "disk"], &rows);
    let waiting: Vec<_> = reply.waiting.iter().map(ToString::to_string).collect();
    if !waiting.is_empty() {
        println!("waiting to become members: {}", waiting.join(" "));
    }
}

fn read_rules_file(file: Option<&PathBuf>) -> Result<(PathBuf, String), CliError> {
    let missing = CliError::Missing {
        what: "the rules file",
    };
    let file = file.cloned().ok_or(missing)?;
    match fs::read_to_string(&file) {
        Ok(text) => Ok((file, text)),
        Err(error) => Err(CliError::File { file, error }),
    }
}

fn write_rules_file(file: &Path, text: &str, base: Version) -> Result<(), CliError> {
    let written = fs::write(file, text);
    written.map_err(|error| CliError::File {
        file: file.to_owned(),
        error,
    })?;
    let saved = SavedState { base, sent: None };
    saved.write(file)
}

fn print_findings(args: &Args, findings: &Findings) -> Exit {
    print_json(args, findings);
    if !args.json {
        eprintln!("{findings}");
    }
    Exit::Invalid
}

fn print_json<Value: Serialize>(args: &Args, value: &Value) {
    if args.json {
        println!("{}", serde_json::to_string(value).unwrap_or_default());
    }
}

fn print_text(args: &Args, text: &str) {
    if !args.json {
        println!("{text}");
    }
}

fn print_nodes(nodes: &[NodeRow]) {
    let rows: Vec<_> = nodes.iter().map(node_row).collect();
    println!("\nnodes");
    table::print(&["node", "centre", "standing", "version", "role"], &rows);
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

fn print_status(status: &StatusReply) {
    let or_none = |node: Option<base::NodeId>| node.map_or("none".to_owned(), |n| n.to_string());
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

fn replica_row(row: &wire::operator::ReplicaRow) -> Vec<String> {
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

fn service_row(row: &wire::operator::ServiceRow) -> Vec<String> {
    let state = if row.leaving { "leaving" } else { "serving" };
    let (service, centre) = (row.service.to_string(), row.centre.to_string());
    vec![service, centre, row.addr.to_string(), state.to_owned()]
}

fn class_row(row: &wire::operator::ClassRow) -> Vec<String> {
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

fn print_order(record: &OrderRow) {
    let status = record.status.map_or("-".to_owned(), |s| s.to_string());
    table::print(&["state", "status"], &[vec![record.state.clone(), status]]);
}
