//! Shows and lifts bans of requests for operators. A control host that doesn't lead asks the
//! one that does.

use std::rc::Rc;
use std::time::Duration;

use crate::control::ControlHost;
use net::RpcMethods;
use wire::Call;
use wire::deployment::BanRow;
use wire::deployment::LiftBan;
use wire::deployment::LiftBanReply;
use wire::deployment::ShowBans;
use wire::deployment::ShowBansReply;

/// How long the leader may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Adds the methods that control hosts offer to operators.
pub(crate) fn add_methods(methods: RpcMethods<ControlHost>) -> RpcMethods<ControlHost> {
    methods
        .register(|control: Rc<ControlHost>, call: ShowBans| async move {
            if control.is_leader() {
                return Ok(ShowBansReply::Bans(bans(&control)));
            }
            let reply = ask_leader(&control, &call).await;
            Ok(reply.unwrap_or(ShowBansReply::NoLeader))
        })
        .register(|control: Rc<ControlHost>, call: LiftBan| async move {
            if control.is_leader() {
                return Ok(lift(&control, call));
            }
            let reply = ask_leader(&control, &call).await;
            Ok(reply.unwrap_or(LiftBanReply::NoLeader))
        })
}

async fn ask_leader<C: Call>(control: &ControlHost, call: &C) -> Option<C::Reply> {
    let own_id = control.settings.node_id();
    let leader = control.known_leader().filter(|leader| *leader != own_id)?;
    let addr = control.settings.internal_addr(leader);
    match control.rpc.call(addr, call, CALL_TIMEOUT).await {
        Ok(reply) => Some(reply),
        Err(e) => {
            log::warn!("the leader did not answer {}: {e}", C::METHOD);
            None
        }
    }
}

fn bans(control: &ControlHost) -> Vec<BanRow> {
    let quarantine = control.quarantine.borrow();
    let rows = quarantine.published_bans().map(|ban| BanRow {
        parts: ban.parts.iter().cloned().collect(),
        crashes: ban.crashes,
    });
    rows.collect()
}

fn lift(control: &ControlHost, call: LiftBan) -> LiftBanReply {
    let parts = call.parts.into_iter().collect();
    let is_lifted = control.quarantine.borrow_mut().lift(&parts);
    control.controller_changed.notify_waiters();
    match is_lifted {
        true => LiftBanReply::Lifted,
        false => LiftBanReply::NotBanned,
    }
}
