//! Keeps the group of voters whole without an operator, as [`MembershipPolicy`] says.

use std::rc::Rc;
use std::time::Duration;

use crate::control::Control;
use crate::control::voter::AtControl;
use crate::events::Event;
use crate::events::emit;
use quorum::clock;
use vote::MembershipPolicy;

/// Time between two looks at the seats.
const EVERY: Duration = Duration::from_millis(300);

/// Looks after the seats, for as long as the process runs.
pub(crate) async fn seats_on(control: Rc<Control>) {
    let policy = MembershipPolicy::tolerating_losses(control.own.losses);
    loop {
        compio::time::sleep(EVERY).await;
        if !control.leads() {
            continue;
        }
        let status = control.voters.voter.borrow().status();
        let group = control.voters.voter.borrow().group().cloned();
        let Some(change) = group.and_then(|group| policy.next_change(&status, &group)) else {
            continue;
        };
        let changed = control
            .voters
            .voter
            .borrow_mut()
            .change_members(change, clock::now());
        let outcome = match changed {
            Ok(_) => "begun".to_owned(),
            Err(e) => e.to_string(),
        };
        let change = format!("{change:?}");
        emit(&Event::SeatChanged { change, outcome });
        quorum::run_effects(&AtControl(Rc::clone(&control)));
    }
}
