//! Asks hosts that are silent, or whose replica stands still, whether they live.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::time::timeout;

use crate::control::Control;
use crate::events::Event;
use crate::events::emit;
use base::UpstreamId;
use fleet::Announcement;
use forward::TargetId;
use net::read_body;
use quorum::clock;

/// Time between two looks for silent hosts.
const EVERY: Duration = Duration::from_millis(200);

/// A host that is silent this long is asked: announcements come about each 1.2 s.
const SILENT: Duration = Duration::from_millis(1_900);

/// How long a host may take to answer.
const ANSWER: Duration = Duration::from_millis(180);

/// A host that lives is not asked again for this long.
const ASK_AGAIN: Duration = Duration::from_millis(400);

/// A replica that gave something this lately is not lost: what entry hosts tell is as
/// old as their last question.
const MOVED: Duration = Duration::from_millis(600);

/// Times that a host is asked before it counts as lost.
const TRIES: usize = 2;

/// Hosts that are asked at once: with more the answers would come late for want of
/// processor time here, and hosts that live would count as lost.
pub(crate) const AT_ONCE: usize = 48;

/// The largest answer in bytes.
const ANSWER_BYTES: usize = 256 * 1024;

/// Asks silent hosts while this control host leads, for as long as the process runs.
pub(crate) async fn probe_on(control: Rc<Control>) {
    loop {
        compio::time::sleep(EVERY).await;
        if !control.leads() {
            continue;
        }
        let silent = control
            .controller
            .borrow()
            .silent_hosts(SILENT, clock::now());
        for host in silent {
            ask(&control, host, "silent");
        }
    }
}

/// Takes that a replica stands still: the hosts of it are asked.
pub(crate) fn still(control: &Rc<Control>, head: &UpstreamId) {
    if !control.leads() {
        control.untold.borrow_mut().still.push(head.clone());
        control.telling.ring();
        return;
    }
    let hosts = control.controller.borrow().replica_hosts(head);
    emit(&Event::HostStill {
        head,
        hosts: hosts.len(),
    });
    for host in hosts {
        ask(control, host, "replica stands still");
    }
}

fn ask(control: &Rc<Control>, host: Announcement, why: &'static str) {
    if !control.asked.borrow_mut().insert(host.id.clone()) {
        return;
    }
    let control = Rc::clone(control);
    compio::runtime::spawn(async move {
        let place = control.probing.enter().await;
        let lives = lives(&control, &host).await;
        drop(place);
        let now = clock::now();
        let heard = control
            .roster
            .borrow()
            .get(&host.id)
            .map(|entry| entry.heard_at);
        let silent = heard.map(|heard| now.since(heard)).unwrap_or_default();
        if lives || moves(&control, &host) {
            compio::time::sleep(ASK_AGAIN).await;
            control.asked.borrow_mut().remove(&host.id);
            return;
        }
        emit(&Event::HostLost {
            host: &host.id,
            silent_ms: silent.as_millis(),
            why,
        });
        control
            .controller
            .borrow_mut()
            .mark_lost(&host.id, host.incarnation, now);
        control.due.ring();
    })
    .detach();
}

/// Whether the replica of a host gave something to entry hosts lately: then all its hosts
/// live, though some cannot be reached from here.
fn moves(control: &Control, host: &Announcement) -> bool {
    let head = control.controller.borrow().replica_head(&host.id).cloned();
    let moved = head.and_then(|head| control.crowd.borrow().last_output(&head));
    moved.is_some_and(|moved| clock::now().since(moved) < MOVED)
}

async fn lives(control: &Control, host: &Announcement) -> bool {
    for _ in 0..TRIES {
        if answers(control, host).await {
            return true;
        }
    }
    false
}

async fn answers(control: &Control, host: &Announcement) -> bool {
    let id = (host.id.clone(), host.incarnation);
    report(control, &id, host.addr).await.is_some()
}

/// How many orders a host has begun, as it says itself.
pub(crate) async fn begun(control: &Control, id: &TargetId, addr: SocketAddr) -> Option<u64> {
    let report = report(control, id, addr).await?;
    match control.platform.orders_begun(&report) {
        Ok(begun) => Some(begun),
        Err(e) => {
            log::warn!("the report of {} cannot be read: {e}", id.0);
            None
        }
    }
}

/// What a host reports, if it answers at once.
async fn report(control: &Control, id: &TargetId, addr: SocketAddr) -> Option<Bytes> {
    let asked = async {
        let mut connection = match control.pool.take(id) {
            Some(kept) => kept,
            None => control.pool.open(addr, ANSWER).await.ok()?,
        };
        let response = connection.request(control.platform.probe()).await.ok()?;
        let read = read_body(response.into_body(), ANSWER_BYTES, ANSWER).await;
        let body = read.ok()?;
        control.pool.put(id, connection, None);
        Some(body)
    };
    timeout(ANSWER, asked).await.ok().flatten()
}
