//! Tells followers what is new, as soon as it is.

use std::rc::Rc;
use std::time::Duration;

use crate::control::Control;
use crate::control::lead;
use crate::control::probe;
use crate::message::ConfigText;
use crate::message::News;
use crate::message::Offer;
use crate::message::ReadConfig;
use crate::message::Tell;
use crate::message::Told;
use crate::message::Watch;
use crate::message::Watched;
use crate::message::Watcher;
use base::Fence;
use base::NodeId;
use fleet::Revision;
use fleet::RosterChange;
use fleet::UpdateOutcome;
use forward::LoadReport;
use net::RpcMethods;
use quorum::clock;

/// How long an answer waits for something new.
const WAIT: Duration = Duration::from_millis(200);

/// Changes are gathered for this long for each follower before they are told to entry hosts:
/// a control host with many of them answers each less often.
const GATHER_EACH: Duration = Duration::from_millis(1);

/// The longest time for which changes are gathered.
const GATHER_MOST: Duration = Duration::from_millis(100);

/// What control hosts offer to the others and to entry hosts.
pub(crate) fn methods(methods: RpcMethods<Control>) -> RpcMethods<Control> {
    methods
        .register(|control: Rc<Control>, call: Watch| async move { Ok(watch(control, call).await) })
        .register(|control: Rc<Control>, call: Tell| async move {
            hear(&control, call);
            Ok(Told {})
        })
        .register(|control: Rc<Control>, call: Offer| async move {
            Ok(lead::offer_here(&control, call.configuration).await)
        })
        .register(
            |control: Rc<Control>, _: ReadConfig| async move { Ok(lead::read_here(&control)) },
        )
}

async fn watch(control: Rc<Control>, call: Watch) -> Watched {
    let needs_leader = call.watcher == Watcher::Control;
    if needs_leader && !control.leads() {
        let leader = control.known_leader();
        return Watched::NotLeading { leader };
    }
    if let Some(tally) = call.tally {
        let mut crowd = control.crowd.borrow_mut();
        crowd.record_report(call.from, tally, clock::now());
    }
    let is_new = |control: &Control| {
        call.life != control.life
            || call.revision < control.roster.borrow().revision()
            || call.version < control.in_force.borrow().version
            || call.edition < control.directions.borrow().edition
    };
    if !is_new(&control) {
        control.news.wait(WAIT).await;
    }
    if call.watcher == Watcher::Entry && is_new(&control) {
        let followers = control.crowd.borrow().follower_count();
        compio::time::sleep((GATHER_EACH * followers).min(GATHER_MOST)).await;
    }
    if needs_leader && !control.leads() {
        let leader = control.known_leader();
        return Watched::NotLeading { leader };
    }
    let since = match call.life == control.life {
        true => call.revision,
        false => Revision::default(),
    };
    let mut news = news(&control, since);
    news.tally = tally_for(&control, call.from, call.watcher);
    news.configuration = newer_config(&control, call.version);
    let directions = control.directions.borrow();
    let is_newer = call.edition < directions.edition;
    news.directions = is_newer.then(|| directions.clone());
    Watched::News(Box::new(news))
}

fn news(control: &Control, since: Revision) -> News {
    let now = clock::now();
    let confirmed = match control.leads() {
        true => Some(Duration::ZERO),
        false => control.confirmed.get().map(|at| now.since(at)),
    };
    let roster = control.roster.borrow();
    News {
        life: control.life,
        revision: roster.revision(),
        changes: roster.changes_since(since),
        configuration: None,
        directions: None,
        unreachable: control.unreachable(),
        confirmed_ago: confirmed,
        controls: control.controls().into_iter().collect(),
        tally: None,
    }
}

fn newer_config(control: &Control, known: base::Version) -> Option<ConfigText> {
    let in_force = control.in_force.borrow();
    (known < in_force.version).then(|| ConfigText {
        version: in_force.version,
        text: in_force.text.clone(),
    })
}

/// What a follower is told of all entry hosts' requests.
fn tally_for(control: &Control, follower: NodeId, watcher: Watcher) -> Option<Rc<LoadReport>> {
    let now = clock::now();
    let mut crowd = control.crowd.borrow_mut();
    match watcher {
        Watcher::Entry => crowd.report_for_entry(follower, now),
        Watcher::Control => crowd.report_for_control(follower, now),
    }
}

/// Takes what another process heard.
pub(crate) fn hear(control: &Rc<Control>, tell: Tell) {
    for change in tell.changes {
        let id = match &change {
            RosterChange::Announced(said) => said.id.clone(),
            RosterChange::Gone { id, .. } => id.clone(),
        };
        let heard = control
            .roster
            .borrow_mut()
            .apply_change(change, clock::now());
        control.heard(&id, heard);
    }
    for beat in tell.beats {
        let known = control
            .roster
            .borrow()
            .get(&beat.id)
            .map(|e| e.announcement.clone());
        let Some(mut said) = known.filter(|said| said.incarnation == beat.life) else {
            continue;
        };
        said.sequence = beat.sequence;
        let heard: UpdateOutcome = control
            .roster
            .borrow_mut()
            .record_announcement(said, clock::now());
        control.heard(&beat.id, heard);
    }
    for epoch in tell.left {
        left(control, epoch);
    }
    for head in tell.still {
        probe::still(control, &head);
    }
}

/// Takes that the first host of a replica has left it.
fn left(control: &Rc<Control>, epoch: Fence) {
    if control.leads() {
        control
            .controller
            .borrow_mut()
            .record_head_left(epoch, clock::now());
        control.due.ring();
        return;
    }
    control.untold.borrow_mut().left.push(epoch);
    control.telling.ring();
}
