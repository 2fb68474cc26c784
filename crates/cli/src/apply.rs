//! Applies a rules file.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use crate::args::ApplyArgs;
use crate::args::Args;
use crate::exit::CliError;
use crate::exit::Exit;
use crate::node_client::NodeClient;
use crate::output::print_findings;
use crate::output::print_json;
use crate::output::print_text;
use crate::saved_state::SavedState;
use rules::Rules;
use wire::operator::Apply;
use wire::operator::ApplyReply;

/// Sends a rules file to a node. Keeps the change's id beside the file until it is answered.
pub async fn apply_rules(args: &Args, apply: &ApplyArgs) -> Result<Exit, CliError> {
    let (file, text) = read_rules_file(apply.file.as_ref())?;
    if let Err(findings) = Rules::parse(&file, &text) {
        return Ok(print_findings(args, &findings));
    }
    let client = NodeClient::open(args)?;
    let mut saved = SavedState::read(&file)?;
    let call = save_change(&mut saved, apply, &file, &text)?;
    let reply = client.call(&call).await?;
    print_json(args, &reply);
    print_text(args, &reply_text(&reply));
    saved.sent = None;
    if let ApplyReply::Accepted { version } = &reply {
        saved.base = *version;
    }
    saved.write(&file)?;
    Ok(exit_code(&reply))
}

/// Reads a rules file. Returns its path and its text.
pub fn read_rules_file(file: Option<&PathBuf>) -> Result<(PathBuf, String), CliError> {
    let missing = CliError::Missing {
        what: "the rules file",
    };
    let file = file.cloned().ok_or(missing)?;
    match fs::read_to_string(&file) {
        Ok(text) => Ok((file, text)),
        Err(error) => Err(CliError::File { file, error }),
    }
}

/// Saves the change before it is sent, so that it keeps its id if its answer is lost.
fn save_change(
    saved: &mut SavedState,
    apply: &ApplyArgs,
    file: &Path,
    text: &str,
) -> Result<Apply, CliError> {
    let base = apply.base.unwrap_or(saved.base);
    let sent = saved.change_to_send(base, text);
    saved.sent = Some(sent.clone());
    saved.write(file)?;
    Ok(Apply {
        change: sent.change,
        base: sent.base,
        text: sent.text,
    })
}

fn reply_text(reply: &ApplyReply) -> String {
    match reply {
        ApplyReply::Accepted { version } => format!("accepted as {version}"),
        ApplyReply::Conflict { winner, version } => {
            let winner = winner.map_or("another change".to_owned(), |w| format!("change {w}"));
            let next = "fetch it with `berylbay rules --write FILE`, edit and apply again";
            format!("not accepted: {winner} made {version}; {next}")
        }
        ApplyReply::Reused => {
            "not accepted: the change's id was used for other contents".to_owned()
        }
        ApplyReply::Forgotten { version } => {
            format!("unknown: the change is too old to have a record; {version} is in force")
        }
        ApplyReply::Rejected { findings } => findings.to_string(),
    }
}

fn exit_code(reply: &ApplyReply) -> Exit {
    match reply {
        ApplyReply::Accepted { .. } => Exit::Done,
        ApplyReply::Conflict { .. } | ApplyReply::Reused => Exit::Conflict,
        ApplyReply::Forgotten { .. } => Exit::Unknown,
        ApplyReply::Rejected { .. } => Exit::Invalid,
    }
}
