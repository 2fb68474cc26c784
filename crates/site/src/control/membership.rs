//! Changes the group of voters without an operator, as [`MembershipPolicy`] requires.

use std::rc::Rc;
use std::time::Duration;

use crate::control::ControlHost;
use crate::control::voter::VoterEnvironment;
use crate::events::Event;
use crate::events::emit;
use quorum::clock;
use vote::ChangeError;
use vote::MembershipPolicy;

/// The longest time between two checks of the group of voters. A change that is committed is
/// followed by a check at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Proposes the policy's changes while this control host leads, for as long as the process runs.
pub(crate) async fn run_membership_policy(control: Rc<ControlHost>) {
    loop {
        control.members_changed.wait(CHECK_INTERVAL).await;
        match control.is_leader() {
            true => propose_next_change(&control),
            false => update_contacts(&control),
        }
    }
}

/// The policy for the settings of a control host.
pub(crate) fn membership_policy(control: &ControlHost) -> MembershipPolicy {
    let settings = &control.role_settings;
    MembershipPolicy::tolerating_losses(settings.max_disk_losses).with_catch_up(settings.catch_up)
}

fn propose_next_change(control: &Rc<ControlHost>) {
    let policy = membership_policy(control);
    let change = {
        let voter = control.local_voter.voter.borrow();
        let group = voter.group();
        group.and_then(|group| policy.next_change(&voter.status(), group))
    };
    let Some(change) = change else {
        return;
    };
    let changed = control
        .local_voter
        .voter
        .borrow_mut()
        .change_members(change, clock::now());
    let outcome = match changed {
        Ok(_) => "begun".to_owned(),
        // The check that follows its commit tries again.
        Err(ChangeError::Busy) => return,
        Err(e) => e.to_string(),
    };
    let change = format!("{change:?}");
    emit(&Event::VotersChanged { change, outcome });
    quorum::run_effects(&VoterEnvironment(Rc::clone(control)));
}

/// Tells the voter of the leader, which knows the group when the control hosts of the settings are
/// gone.
fn update_contacts(control: &ControlHost) {
    if let Some(leader) = control.reported_leader.get() {
        control.local_voter.voter.borrow_mut().add_contact(leader);
    }
}
