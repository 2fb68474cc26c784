//! Probes hosts that are silent or whose replica has stalled.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::time::timeout;

use crate::control::ControlHost;
use crate::events::Event;
use crate::events::emit;
use base::UpstreamId;
use fleet::Announcement;
use fleet::HostStatus;
use fleet::ProbeOutcome;
use forward::TargetId;
use net::read_body;
use quorum::clock;

/// Time between two checks for silent hosts.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A host that has been silent this long is probed. Announcements come about every 1.2 s.
const SILENCE_BEFORE_PROBE: Duration = Duration::from_millis(1_900);

/// How long a host may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(180);

/// A host that answered is not probed again for this long.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// A replica with output this recent is not lost. Entry hosts report output only when they watch,
/// so their reports are as old as their last call.
const RECENT_OUTPUT: Duration = Duration::from_millis(600);

/// How a host is probed before it counts as lost.
const PROBE_ATTEMPTS: [ProbeConnection; 2] = [ProbeConnection::KeptOrNew, ProbeConnection::New];

/// Hosts that are probed at once. With more, answers would be processed late for lack of
/// processor time on this host, and running hosts would count as lost.
pub(crate) const MAX_PARALLEL_PROBES: usize = 48;

/// The largest accepted report in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Probes silent hosts while this control host leads, for as long as the process runs.
pub(crate) async fn probe_silent_hosts(control: Rc<ControlHost>) {
    loop {
        compio::time::sleep(CHECK_INTERVAL).await;
        if !control.is_leader() {
            continue;
        }
        let silent = control
            .controller
            .borrow()
            .silent_hosts(SILENCE_BEFORE_PROBE, clock::now());
        for host in silent {
            probe_host(&control, host, "silent");
        }
    }
}

/// Probes the hosts of a stalled replica, or passes the observation on to the leader.
pub(crate) fn record_stalled_replica(control: &Rc<ControlHost>, head: &UpstreamId) {
    if !control.is_leader() {
        control
            .unsent_observations
            .borrow_mut()
            .stalled_heads
            .push(head.clone());
        control.observations_added.notify_waiters();
        return;
    }
    let hosts = control.controller.borrow().replica_hosts(head);
    emit(&Event::ReplicaStalled {
        head,
        hosts: hosts.len(),
    });
    for host in hosts {
        probe_host(control, host, "replica stands still");
    }
}

fn probe_host(control: &Rc<ControlHost>, host: Announcement, why: &'static str) {
    let begun_at = clock::now();
    let is_due = control
        .probes
        .borrow_mut()
        .begin(&host.id, host.incarnation, begun_at);
    if !is_due {
        return;
    }
    let control = Rc::clone(control);
    compio::runtime::spawn(async move {
        let permit = control.probe_permits.acquire().await;
        let is_alive = is_alive(&control, &host).await;
        drop(permit);
        let now = clock::now();
        let heard_at = control
            .roster
            .borrow()
            .get(&host.id)
            .map(|entry| entry.heard_at);
        let silence = heard_at.map(|at| now.since(at)).unwrap_or_default();
        if is_alive || has_recent_output(&control, &host) {
            compio::time::sleep(MIN_PROBE_INTERVAL).await;
            end_probe(&control, &host, ProbeOutcome::Alive);
            return;
        }
        end_probe(&control, &host, ProbeOutcome::Lost);
        emit(&Event::HostLost {
            host: &host.id,
            silent_ms: silence.as_millis(),
            why,
        });
        control
            .controller
            .borrow_mut()
            .mark_lost(&host.id, host.incarnation, now);
        control.controller_changed.notify_waiters();
    })
    .detach();
}

fn end_probe(control: &ControlHost, host: &Announcement, outcome: ProbeOutcome) {
    control
        .probes
        .borrow_mut()
        .end(&host.id, host.incarnation, outcome);
}

/// Whether entry hosts got output from the host's replica recently. If so, all its hosts are
/// running, even if some cannot be reached from here.
fn has_recent_output(control: &ControlHost, host: &Announcement) -> bool {
    let head = control.controller.borrow().replica_head(&host.id).cloned();
    let last_output = head.and_then(|head| control.loads.borrow().last_output(&head));
    last_output.is_some_and(|last_output| clock::now().since(last_output) < RECENT_OUTPUT)
}

/// Which connection a host is asked on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeConnection {
    /// An idle one, where an earlier answer may come first, or a new one if there is none.
    KeptOrNew,
    /// A new one, so the answer is to this question.
    New,
}

async fn is_alive(control: &ControlHost, host: &Announcement) -> bool {
    for connection in PROBE_ATTEMPTS {
        if answers_probe(control, host, connection).await {
            return true;
        }
    }
    false
}

async fn answers_probe(
    control: &ControlHost,
    host: &Announcement,
    connection: ProbeConnection,
) -> bool {
    let id = (host.id.clone(), host.incarnation);
    let Some(report) = fetch_report(control, &id, host.addr, connection).await else {
        return false;
    };
    // Another process may have the address by now, or another incarnation of the host.
    let status = control.platform.parse_report(&report);
    let reported = status.ok().and_then(|status| status.incarnation);
    reported.is_none_or(|reported| reported == host.incarnation)
}

/// Asks a host for its present state.
pub(crate) async fn fetch_status(
    control: &ControlHost,
    id: &TargetId,
    addr: SocketAddr,
) -> Option<HostStatus> {
    let report = fetch_report(control, id, addr, ProbeConnection::New).await?;
    match control.platform.parse_report(&report) {
        Ok(status) => Some(status),
        Err(e) => {
            log::warn!("the report of {} cannot be read: {e}", id.0);
            None
        }
    }
}

/// Requests the report of a host. None if there is no answer, or none that such a host gives.
async fn fetch_report(
    control: &ControlHost,
    id: &TargetId,
    addr: SocketAddr,
    connection: ProbeConnection,
) -> Option<Bytes> {
    let exchange = async {
        let kept = match connection {
            ProbeConnection::KeptOrNew => control.pool.take_idle(id),
            ProbeConnection::New => None,
        };
        let mut connection = match kept {
            Some(kept) => kept,
            None => control.pool.connect(addr, ANSWER_TIMEOUT).await.ok()?,
        };
        let response = connection
            .request(control.platform.probe_request())
            .await
            .ok()?;
        if response.status().is_client_error() {
            return None;
        }
        let read = read_body(response.into_body(), MAX_REPORT_BYTES, ANSWER_TIMEOUT).await;
        let body = read.ok()?;
        control.pool.put_back(id, connection, None);
        Some(body)
    };
    timeout(ANSWER_TIMEOUT, exchange).await.ok().flatten()
}
