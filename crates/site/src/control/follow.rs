//! Follows the control host that leads, and tells it what was heard here.

use std::rc::Rc;
use std::time::Duration;

use crate::control::Control;
use crate::control::watch;
use crate::events::Event;
use crate::events::emit;
use crate::message::News;
use crate::message::Tell;
use crate::message::Watch;
use crate::message::Watched;
use crate::message::Watcher;
use base::NodeId;
use base::Time;
use fleet::Revision;
use quorum::clock;

/// How long the leader may take to answer.
const WITHIN: Duration = Duration::from_millis(700);

/// Time between two tries to find the leader.
const RETRY: Duration = Duration::from_millis(100);

/// What was heard is collected this long before it is told.
const GATHER: Duration = Duration::from_millis(10);

/// Announcements that say nothing new are told at least this often.
const TELL_EVERY: Duration = Duration::from_millis(250);

/// What is known of the leader's state.
#[derive(Debug, Default)]
struct Known {
    life: base::Incarnation,
    revision: Revision,
}

/// Follows the leader, for as long as the process runs.
pub(crate) async fn follow_on(control: Rc<Control>) {
    let mut known = Known::default();
    let mut turn = 0;
    loop {
        if control.leads() {
            control.confirmed.set(Some(clock::now()));
            control
                .crowd
                .borrow_mut()
                .forget_old_leader_report(clock::now());
            control.due.wait(RETRY).await;
            continue;
        }
        let Some(leader) = candidate(&control, turn) else {
            compio::time::sleep(RETRY).await;
            turn += 1;
            continue;
        };
        let asked = clock::now();
        let call = Watch {
            from: control.settings.node(),
            life: known.life,
            revision: known.revision,
            version: control.in_force.borrow().version,
            edition: control.directions.borrow().edition,
            watcher: Watcher::Control,
            tally: control.crowd.borrow_mut().report_for_leader(leader, asked),
        };
        let addr = control.settings.internal(leader);
        match control.peers.call(addr, &call, WITHIN).await {
            Ok(Watched::News(news)) => {
                control.leader.set(Some(leader));
                take(&control, &mut known, *news, asked);
            }
            Ok(Watched::NotLeading { leader }) => {
                control.leader.set(leader);
                turn += 1;
                compio::time::sleep(RETRY).await;
            }
            Err(e) => {
                log::debug!("the leader {leader} cannot be followed: {e}");
                control.leader.set(None);
                turn += 1;
                compio::time::sleep(RETRY).await;
            }
        }
    }
}

/// The control host that probably leads, or one after the other.
fn candidate(control: &Control, turn: usize) -> Option<NodeId> {
    let me = control.settings.node();
    let known = control.known_leader().filter(|leader| *leader != me);
    if turn.is_multiple_of(2) && known.is_some() {
        return known;
    }
    let others: Vec<_> = control
        .controls()
        .into_iter()
        .filter(|id| *id != me)
        .collect();
    others.get(turn % others.len().max(1)).copied()
}

fn take(control: &Rc<Control>, known: &mut Known, news: News, asked: Time) {
    known.life = news.life;
    known.revision = news.revision;
    control.confirmed.set(Some(asked));
    if let Some(tally) = news.tally {
        let mut crowd = control.crowd.borrow_mut();
        crowd.record_leader_report(tally.as_ref().clone(), asked);
    }
    control.passed_on.replace(news.unreachable);
    let tell = Tell {
        changes: news.changes,
        ..Tell::default()
    };
    watch::hear(control, tell);
    if let Some(newer) = news.configuration {
        match newer.text.decompress() {
            Ok(text) => control.bring_into_force(newer.version, &text),
            Err(e) => emit(&Event::ConfigUnreadable {
                version: newer.version,
                error: e.to_string(),
            }),
        }
    }
    if let Some(newer) = news.directions
        && control.directions.borrow().edition < newer.edition
    {
        control.directions.replace(newer);
        control.news.ring();
    }
}

/// Tells the leader what was heard, for as long as the process runs.
pub(crate) async fn tell_on(control: Rc<Control>) {
    loop {
        control.telling.wait(TELL_EVERY).await;
        compio::time::sleep(GATHER).await;
        let tell = std::mem::take(&mut *control.untold.borrow_mut());
        if control.leads() || tell == Tell::default() {
            continue;
        }
        let Some(leader) = control.known_leader() else {
            keep(&control, tell);
            compio::time::sleep(RETRY).await;
            continue;
        };
        let addr = control.settings.internal(leader);
        let told = control.peers.call(addr, &tell, WITHIN).await;
        if let Err(e) = told {
            log::debug!("the leader {leader} cannot be told: {e}");
            keep(&control, tell);
            compio::time::sleep(RETRY).await;
        }
    }
}

/// Puts back what could not be told. Beats are said again anyway.
fn keep(control: &Control, tell: Tell) {
    let mut untold = control.untold.borrow_mut();
    let mut changes = tell.changes;
    changes.append(&mut untold.changes);
    untold.changes = changes;
    const MOST: usize = 1_000;
    let over = untold.changes.len().saturating_sub(MOST);
    untold.changes.drain(..over);
}
