//! Replaces the voter of a control host that is about to stop.
//!
//! A process that is told to stop can't know whether its host comes back. If it doesn't, the next
//! loss of a disk may follow at once, as the successor has had its time before. So the voter is
//! replaced before the process ends, if another control host waits to become a voter. If the host
//! comes back, it waits in turn. Without such a control host nothing changes.

use std::rc::Rc;
use std::time::Duration;

use crate::control::ControlHost;
use crate::control::membership::membership_policy;
use crate::events::Event;
use crate::events::emit;
use crate::message::ReleaseVoter;
use base::Time;
use net::RpcError;
use net::RpcMethods;
use quorum::clock;
use vote::Release;
use vote::ReleaseWait;

/// How long the process waits until its voter is replaced, once that has begun. An exchange is
/// three commits, and the leader may change meanwhile.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);

/// At most one part in this many of the time for the stop is spent so.
const STOP_TIME_PARTS: u32 = 2;

/// The time between two questions to the leader.
const ASK_INTERVAL: Duration = Duration::from_millis(50);

/// How long the leader may take to answer one.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Adds the method by which control hosts ask to be released.
pub(crate) fn add_methods(methods: RpcMethods<ControlHost>) -> RpcMethods<ControlHost> {
    methods.register(|control: Rc<ControlHost>, call: ReleaseVoter| async move {
        Ok(release(&control, call))
    })
}

/// Waits until the voter of this control host is replaced, if it can be.
pub(crate) async fn release_vote(control: &Rc<ControlHost>, deadline: Time) {
    control.local_voter.voter.borrow_mut().stop_offering();
    let began_at = clock::now();
    let max_wait = RELEASE_TIMEOUT.min(deadline.since(began_at) / STOP_TIME_PARTS);
    let mut wait = {
        let voter = control.local_voter.voter.borrow();
        ReleaseWait::begin(&voter, &membership_policy(control))
    };
    let mut outcome = ask_leader(control).await;
    while wait.goes_on(outcome) && clock::now() < began_at + max_wait {
        control.members_changed.wait(ASK_INTERVAL).await;
        outcome = ask_leader(control).await;
    }
    emit(&Event::VoterReleased {
        outcome: format!("{outcome:?}"),
        ms: clock::now().since(began_at).as_millis(),
    });
}

/// Asks the leader, which may be this control host.
async fn ask_leader(control: &Rc<ControlHost>) -> Release {
    let node = control.settings.node_id();
    let call = ReleaseVoter { node };
    if control.local_voter.voter.borrow().has_left() {
        return Release::Released;
    }
    let leader = control.local_voter.voter.borrow().leader();
    let leader = match leader.or(control.reported_leader.get()) {
        Some(leader) if leader == node => return release(control, call),
        Some(leader) => leader,
        None => return Release::NotLeading,
    };
    let addr = control.settings.internal_addr(leader);
    match control.rpc.call(addr, &call, CALL_TIMEOUT).await {
        Ok(reply) => reply,
        // An earlier release doesn't know the call.
        Err(RpcError::Refused { .. }) => Release::NoSpare,
        Err(e) => {
            log::debug!("the leader {leader} can't be asked: {e}");
            Release::NotLeading
        }
    }
}

/// Begins to replace the voter of a control host, if this one leads.
fn release(control: &Rc<ControlHost>, call: ReleaseVoter) -> Release {
    if !control.is_leader() {
        return Release::NotLeading;
    }
    let policy = membership_policy(control);
    let mut voter = control.local_voter.voter.borrow_mut();
    let release = voter.release(call.node, &policy, clock::now());
    if release == Release::Pending {
        control.members_changed.notify_waiters();
    }
    release
}
