//! Acknowledges departures of upstreams once enough control hosts hold them.
//!
//! An upstream tells one control host that it leaves, and takes the acknowledgement for a promise:
//! entry hosts stop sending to it in time. So a departure is acknowledged only once the loss of as
//! many control hosts as the deployment has to bear leaves one that holds it. Each that holds it
//! tells the next leader. What cannot be promised in time is refused: the upstream then asks the
//! next control host.

use std::rc::Rc;
use std::time::Duration;

use crate::control::ControlHost;
use crate::events::Event;
use crate::events::emit;
use crate::message::Watch;
use base::Incarnation;
use base::NodeId;
use base::Time;
use base::UpstreamId;
use fleet::DeparturesHeld;
use fleet::Revision;
use fleet::required_followers;
use quorum::clock;

/// How long an upstream waits for the outcome. It asks elsewhere after a second.
const ACK_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a control host that reports departures waits until enough others hold them. It sends
/// no other observations meanwhile.
const HOLD_TIMEOUT: Duration = Duration::from_millis(300);

/// A leader that did not answer for this long may have been replaced. Longer than a watch call
/// waits.
const MAX_LEADER_SILENCE: Duration = Duration::from_secs(1);

/// Waits until enough control hosts hold what an upstream last said. Returns whether they do.
pub(crate) async fn wait_until_held(control: &ControlHost, id: &UpstreamId) -> DeparturesHeld {
    let began_at = clock::now();
    let deadline = began_at + ACK_TIMEOUT;
    if is_held(control, id) {
        return DeparturesHeld::ByEnough;
    }
    while !is_held(control, id) {
        let now = clock::now();
        if deadline <= now {
            emit(&Event::DepartureNotHeld {
                id,
                leads: control.is_leader(),
                leader: control.known_leader().map_or(0, |leader| leader.0),
                ms: now.since(began_at).as_millis(),
            });
            return DeparturesHeld::ByTooFew;
        }
        control.departures_held.wait(deadline.since(now)).await;
    }
    emit(&Event::DepartureHeld {
        id,
        leads: control.is_leader(),
        ms: clock::now().since(began_at).as_millis(),
    });
    DeparturesHeld::ByEnough
}

/// Waits until this control host knows a process. It may have just started, or the process may
/// have announced itself to another control host right before. Returns the latest incarnation.
pub(crate) async fn wait_until_known(
    control: &ControlHost,
    id: &UpstreamId,
) -> Option<Incarnation> {
    let deadline = clock::now() + ACK_TIMEOUT;
    loop {
        let known = control.roster.borrow().latest_incarnation(id);
        let now = clock::now();
        if known.is_some() || deadline <= now {
            return known;
        }
        control.watch_changed.wait(deadline.since(now)).await;
    }
}

/// Whether the leader's roster up to now is held by enough control hosts, if this one leads. The
/// reporter of its latest changes holds those.
pub(crate) async fn wait_until_roster_held(
    control: &ControlHost,
    reporter: Option<NodeId>,
) -> DeparturesHeld {
    let revision = control.roster.borrow().revision();
    let deadline = clock::now() + HOLD_TIMEOUT;
    loop {
        let now = clock::now();
        if control.is_leader() && is_revision_held(control, revision, reporter) {
            return DeparturesHeld::ByEnough;
        }
        if !control.is_leader() || deadline <= now {
            return DeparturesHeld::ByTooFew;
        }
        control.departures_held.wait(deadline.since(now)).await;
    }
}

fn is_held(control: &ControlHost, id: &UpstreamId) -> bool {
    if control.is_leader() {
        let revision = control.roster.borrow().revision_of(id);
        return revision.is_none_or(|revision| is_revision_held(control, revision, None));
    }
    follows_leader(control, clock::now()) && control.leader_reports.borrow().is_reported(id)
}

fn is_revision_held(control: &ControlHost, revision: Revision, reporter: Option<NodeId>) -> bool {
    let members = {
        let voter = control.local_voter.voter.borrow();
        voter.group().map_or(1, |group| group.members.len())
    };
    let required = required_followers(control.role_settings.max_disk_losses, members);
    let holders = control.revision_holders.borrow();
    holders.is_held(revision, reporter, required)
}

/// Whether the leader answered this control host a short time ago.
fn follows_leader(control: &ControlHost, now: Time) -> bool {
    let answered_at = control.confirmed_at.get();
    answered_at.is_some_and(|at| now.since(at) < MAX_LEADER_SILENCE)
}

/// Records what a follower holds, as its watch call shows.
pub(crate) fn record_follower(control: &Rc<ControlHost>, call: &Watch) {
    let held = match call.incarnation == control.incarnation {
        true => call.revision,
        false => Revision::default(),
    };
    let mut holders = control.revision_holders.borrow_mut();
    let is_new = holders.record(call.from, held);
    if is_new && !call.reports_departures {
        emit(&Event::FollowerReportsLess {
            follower: call.from,
        });
    }
    control.departures_held.notify_waiters();
}
