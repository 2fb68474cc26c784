//! The methods for the operators' tool.

use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::inner::status;
use crate::node::Node;
use crate::voters;
use crate::voters::ProposalOutcome;
use net::RpcMethods;
use quorum::clock;
use rules::Rules;
use state::ConfigChange;
use state::ConfigChangeReply;
use state::KeyStatus;
use state::Op;
use state::Reply;
use wire::Fault;
use wire::operator::Apply;
use wire::operator::ApplyReply;
use wire::operator::FindOrder;
use wire::operator::OrderReply;
use wire::operator::OrderRow;
use wire::operator::RulesReply;
use wire::operator::ShowRules;
use wire::operator::ShowStatus;

/// How long a change to the configuration is retried until the voters' leader is found.
const APPLY_TIMEOUT: Duration = Duration::from_millis(3_500);

pub fn methods(methods: RpcMethods<Node>) -> RpcMethods<Node> {
    methods
        .register(|node: Rc<Node>, call: Apply| async move { apply(&node, call).await })
        .register(|node: Rc<Node>, _: ShowRules| async move { Ok(rules(&node)) })
        .register(|node: Rc<Node>, _: ShowStatus| async move { Ok(status::status(&node).await) })
        .register(|node: Rc<Node>, call: FindOrder| async move { find_order(&node, call).await })
}

async fn apply(node: &Rc<Node>, call: Apply) -> Result<ApplyReply, Fault> {
    if let Err(findings) = Rules::parse(Path::new("rules"), &call.text) {
        return Ok(ApplyReply::Rejected { findings });
    }
    let change = ConfigChange {
        id: call.change,
        base: call.base,
        text: Arc::from(call.text),
    };
    let until = clock::now() + APPLY_TIMEOUT;
    match voters::propose(node, Op::Change(change), until).await {
        ProposalOutcome::Accepted(Reply::Change(reply)) => apply_reply(reply),
        ProposalOutcome::Accepted(_) | ProposalOutcome::Unknown => Err(Fault::unknown(
            "the voters' answer was lost: send the same change again",
        )),
        ProposalOutcome::Refused => Err(Fault::unavailable(
            "no voter leads, so no change is accepted",
        )),
    }
}

fn apply_reply(reply: ConfigChangeReply) -> Result<ApplyReply, Fault> {
    Ok(match reply {
        ConfigChangeReply::Accepted { version } => ApplyReply::Accepted { version },
        ConfigChangeReply::Conflict { winner, version } => ApplyReply::Conflict {
            winner: Some(winner),
            version,
        },
        ConfigChangeReply::OtherContent { .. } => ApplyReply::Reused,
        ConfigChangeReply::NoSuchBase { current } => ApplyReply::Conflict {
            winner: None,
            version: current,
        },
        ConfigChangeReply::Unknown { current } => ApplyReply::Forgotten { version: current },
        ConfigChangeReply::TooLarge { bytes, max } => {
            let what = format!("the file has {bytes} bytes, {max} are allowed");
            return Err(Fault::invalid(what));
        }
    })
}

fn rules(node: &Node) -> RulesReply {
    let config = node.config.borrow();
    RulesReply {
        version: config.version,
        text: config.text.to_string(),
        nodes: status::nodes(node),
    }
}

async fn find_order(node: &Rc<Node>, call: FindOrder) -> Result<OrderReply, Fault> {
    let key_status = voters::key_status(node, &call.org, &call.key).await;
    let key_status = key_status.ok_or_else(|| {
        Fault::unavailable("no voter leads, so the record of the order cannot be read")
    })?;
    let row = |state: &str, status| OrderRow {
        state: state.to_owned(),
        status,
    };
    let record = match key_status {
        KeyStatus::Free => None,
        KeyStatus::Running { .. } => Some(row("running", None)),
        KeyStatus::Done(answer) => Some(row("done", Some(answer.status))),
        KeyStatus::Unknown { .. } => Some(row("unknown", None)),
    };
    Ok(OrderReply { record })
}
