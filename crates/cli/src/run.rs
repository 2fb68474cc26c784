//! Runs the commands.

use std::fs;
use std::path::Path;

use crate::apply::apply_rules;
use crate::apply::read_rules_file;
use crate::args::Args;
use crate::args::BansArgs;
use crate::args::CheckArgs;
use crate::args::Command;
use crate::args::OrderArgs;
use crate::args::RulesArgs;
use crate::args::VotersArgs;
use crate::exit::CliError;
use crate::exit::Exit;
use crate::node_client::NodeClient;
use crate::output::print_bans;
use crate::output::print_findings;
use crate::output::print_json;
use crate::output::print_nodes;
use crate::output::print_order;
use crate::output::print_status;
use crate::output::print_text;
use crate::output::print_voters;
use crate::saved_state::SavedState;
use base::Version;
use rules::Rules;
use wire::deployment::LiftBan;
use wire::deployment::LiftBanReply;
use wire::deployment::ShowBans;
use wire::deployment::ShowBansReply;
use wire::operator::ChangeVoters;
use wire::operator::FindOrder;
use wire::operator::ShowRules;
use wire::operator::ShowStatus;
use wire::operator::ShowVoters;

/// Runs the command of the command line.
pub async fn run(args: Args) -> Result<Exit, CliError> {
    match &args.command {
        None => Err(CliError::Missing { what: "a command" }),
        Some(Command::Check(check)) => self::check(&args, check),
        Some(Command::Apply(apply)) => apply_rules(&args, apply).await,
        Some(Command::Rules(rules)) => self::rules(&args, rules).await,
        Some(Command::Status(_)) => status(&args).await,
        Some(Command::Order(order)) => self::order(&args, order).await,
        Some(Command::Bans(bans)) => self::bans(&args, bans).await,
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

async fn bans(args: &Args, bans: &BansArgs) -> Result<Exit, CliError> {
    let client = NodeClient::open(args)?;
    if bans.lift.is_empty() {
        let reply = client.query(&ShowBans {}).await?;
        print_json(args, &reply);
        return match &reply {
            ShowBansReply::NoLeader => Err(CliError::NoLeader { maybe_done: false }),
            ShowBansReply::Bans(bans) => {
                if !args.json {
                    print_bans(bans);
                }
                Ok(Exit::Done)
            }
        };
    }
    let parts = bans.lift.clone();
    let reply = client.call(&LiftBan { parts }).await?;
    print_json(args, &reply);
    match reply {
        LiftBanReply::NoLeader => return Err(CliError::NoLeader { maybe_done: true }),
        LiftBanReply::Lifted => print_text(args, "the ban is lifted"),
        LiftBanReply::NotBanned => print_text(args, "no ban of just these parts is in force"),
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

fn write_rules_file(file: &Path, text: &str, base: Version) -> Result<(), CliError> {
    let written = fs::write(file, text);
    written.map_err(|error| CliError::File {
        file: file.to_owned(),
        error,
    })?;
    let saved = SavedState { base, sent: None };
    saved.write(file)
}
