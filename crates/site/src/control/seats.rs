//! Keeps the group of voters whole without an operator.
//!
//! A voter that comes back with an empty disk gets its seat again, with that disk. A
//! control host that is new takes a seat if there are too few, or if a voter has been
//! silent for long; that voter's seat is then taken away. The group is never smaller
//! than it has to be while a new voter catches up.

use std::rc::Rc;
use std::time::Duration;

use crate::control::Control;
use crate::control::voter::AtControl;
use crate::events::Event;
use crate::events::emit;
use quorum::clock;
use vote::Change;
use vote::Duty;
use vote::Status;

/// Time between two looks at the seats.
const EVERY: Duration = Duration::from_millis(300);

/// A voter that is silent this long may be replaced by a new one.
const SILENT: Duration = Duration::from_secs(4);

/// Looks after the seats, for as long as the process runs.
pub(crate) async fn seats_on(control: Rc<Control>) {
    loop {
        compio::time::sleep(EVERY).await;
        if !control.leads() {
            continue;
        }
        let status = control.voters.voter.borrow().status();
        let group = control.voters.voter.borrow().group().cloned();
        let Some(change) = group.and_then(|group| due(&status, &group, 2 * control.own.losses + 1))
        else {
            continue;
        };
        let changed = control
            .voters
            .voter
            .borrow_mut()
            .change(change, clock::now());
        let outcome = match changed {
            Ok(_) => "begun".to_owned(),
            Err(e) => e.to_string(),
        };
        let change = format!("{change:?}");
        emit(&Event::SeatChanged { change, outcome });
        quorum::step(&AtControl(Rc::clone(&control)));
    }
}

/// The change that the seats need next, if any.
fn due(status: &Status, group: &vote::Group, wanted: usize) -> Option<Change> {
    for stranger in &status.strangers {
        let (node, disk) = (stranger.node, stranger.disk);
        if group.seats.get(&node).is_some_and(|seat| seat.disk != disk) {
            return Some(Change::Replace { node, disk });
        }
    }
    let silent = status
        .peers
        .iter()
        .find(|peer| peer.silent.is_some_and(|silent| SILENT <= silent));
    let voters = group.voters().count();
    if let Some(silent) = silent
        && wanted < voters
    {
        return Some(Change::Remove { node: silent.node });
    }
    let learns = status.peers.iter().any(|peer| peer.duty == Duty::Learner);
    let is_short = voters < wanted || silent.is_some();
    let stranger = status
        .strangers
        .iter()
        .find(|stranger| !group.seats.contains_key(&stranger.node));
    match stranger {
        Some(stranger) if is_short && !learns => Some(Change::Add {
            node: stranger.node,
            disk: stranger.disk,
        }),
        _ => None,
    }
}
