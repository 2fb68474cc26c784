//! Changes the group of voters without an operator, as [`MembershipPolicy`] requires.

use std::rc::Rc;
use std::time::Duration;

use crate::control::ControlHost;
use crate::control::voter::VoterEnvironment;
use crate::events::Event;
use crate::events::emit;
use quorum::clock;
use vote::MembershipPolicy;

/// Time between two checks of the group of voters.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Proposes the policy's changes while this control host leads, for as long as the process runs.
pub(crate) async fn run_membership_policy(control: Rc<ControlHost>) {
    let policy = MembershipPolicy::tolerating_losses(control.role_settings.max_disk_losses);
    loop {
        compio::time::sleep(CHECK_INTERVAL).await;
        if !control.is_leader() {
            update_contacts(&control);
            continue;
        }
        let status = control.local_voter.voter.borrow().status();
        let group = control.local_voter.voter.borrow().group().cloned();
        let Some(change) = group.and_then(|group| policy.next_change(&status, &group)) else {
            continue;
        };
        let changed = control
            .local_voter
            .voter
            .borrow_mut()
            .change_members(change, clock::now());
        let outcome = match changed {
            Ok(_) => "begun".to_owned(),
            Err(e) => e.to_string(),
        };
        let change = format!("{change:?}");
        emit(&Event::VotersChanged { change, outcome });
        quorum::run_effects(&VoterEnvironment(Rc::clone(&control)));
    }
}

/// Tells the voter of the leader, which knows the group when the control hosts of the settings are
/// gone.
fn update_contacts(control: &ControlHost) {
    if let Some(leader) = control.reported_leader.get() {
        control.local_voter.voter.borrow_mut().add_contact(leader);
    }
}
