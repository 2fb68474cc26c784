//! Follows the leading control host, and sends it what this one observed.

use std::rc::Rc;
use std::time::Duration;

use crate::control::ControlHost;
use crate::control::watch;
use crate::events::Event;
use crate::events::emit;
use crate::message::FleetReport;
use crate::message::Observations;
use crate::message::Watch;
use crate::message::WatchReply;
use crate::message::WatchUpdate;
use crate::message::Watcher;
use base::NodeId;
use base::Time;
use base::UpstreamId;
use fleet::DeparturesHeld;
use fleet::ReportBatch;
use fleet::Revision;
use quorum::clock;

/// How long the leader may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between two attempts to find the leader.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Observations are collected for this long before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Heartbeats of upstreams are sent at least this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Largest number of observations of one kind that are kept while they cannot be sent.
const MAX_UNSENT: usize = 1_000;

/// The incarnation and roster revision of the leader that this control host knows.
#[derive(Debug, Default)]
struct LeaderState {
    incarnation: base::Incarnation,
    revision: Revision,
}

/// Follows the leader, for as long as the process runs.
pub(crate) async fn follow_leader(control: Rc<ControlHost>) {
    let mut state = LeaderState::default();
    let mut tries = 0;
    loop {
        if control.is_leader() {
            // The next leader may lack what this one has heard.
            state = LeaderState::default();
            control.confirmed_at.set(Some(clock::now()));
            control
                .loads
                .borrow_mut()
                .forget_old_leader_report(clock::now());
            control.controller_changed.wait(RETRY_INTERVAL).await;
            continue;
        }
        let Some(leader) = leader_candidate(&control, tries) else {
            compio::time::sleep(RETRY_INTERVAL).await;
            tries += 1;
            continue;
        };
        let asked_at = clock::now();
        let call = Watch {
            from: control.settings.node_id(),
            incarnation: state.incarnation,
            revision: state.revision,
            version: control.active_config.borrow().version,
            edition: control.routing_table.borrow().edition,
            notices: control.quarantine.borrow().published().edition,
            shares: control.allotment.borrow().published().edition,
            entries: control.entry_directory.borrow().published().edition,
            rests: control.rest_directory.borrow().edition(),
            watcher: Watcher::Control,
            reports_departures: true,
            load_report: control
                .loads
                .borrow_mut()
                .report_for_leader(leader, asked_at),
        };
        let addr = control.settings.internal_addr(leader);
        match control.rpc.call(addr, &call, CALL_TIMEOUT).await {
            Ok(WatchReply::Update(update)) => {
                control.reported_leader.set(Some(leader));
                apply_update(&control, &mut state, *update, asked_at);
            }
            Ok(WatchReply::NotLeading { leader }) => {
                control.reported_leader.set(leader);
                tries += 1;
                compio::time::sleep(RETRY_INTERVAL).await;
            }
            Err(e) => {
                log::debug!("the leader {leader} cannot be followed: {e}");
                control.reported_leader.set(None);
                tries += 1;
                compio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// The control host to ask next: in every second try the one that probably leads, if known,
/// otherwise one of the others in turn.
fn leader_candidate(control: &ControlHost, tries: usize) -> Option<NodeId> {
    let own_id = control.settings.node_id();
    let known = control.known_leader().filter(|leader| *leader != own_id);
    if tries.is_multiple_of(2) && known.is_some() {
        return known;
    }
    let others: Vec<_> = control
        .control_hosts()
        .into_iter()
        .filter(|id| *id != own_id)
        .collect();
    others.get(tries % others.len().max(1)).copied()
}

fn apply_update(
    control: &Rc<ControlHost>,
    state: &mut LeaderState,
    update: WatchUpdate,
    asked_at: Time,
) {
    if state.incarnation != update.incarnation {
        tell_new_leader(control);
    }
    state.incarnation = update.incarnation;
    state.revision = update.revision;
    control.confirmed_at.set(Some(asked_at));
    if let Some(load_report) = update.load_report {
        let mut loads = control.loads.borrow_mut();
        let load_report = load_report.as_ref().clone();
        loads.record_leader_report(load_report, asked_at, clock::now());
    }
    control.reported_unreachable.replace(update.unreachable);
    let observations = Observations {
        changes: update.changes,
        ..Observations::default()
    };
    // There are no heartbeats among them, so nothing is lacking.
    let _ = watch::record_observations(control, observations);
    if let Some(newer) = update.configuration {
        match newer.text.decompress() {
            Ok(text) => control.activate_config(newer.version, &text),
            Err(e) => emit(&Event::ConfigUnreadable {
                version: newer.version,
                error: e.to_string(),
            }),
        }
    }
    if let Some(newer) = update.notices {
        control.quarantine.borrow_mut().follow(newer);
        control.watch_changed.notify_waiters();
    }
    if let Some(newer) = update.shares {
        control.allotment.borrow_mut().follow(newer);
        control.watch_changed.notify_waiters();
    }
    if let Some(newer) = update.entries {
        control.entry_directory.borrow_mut().follow(newer);
        control.watch_changed.notify_waiters();
    }
    if let Some(newer) = update.rests {
        let mut rest_directory = control.rest_directory.borrow_mut();
        rest_directory.follow(newer, clock::now());
        control.watch_changed.notify_waiters();
    }
    if let Some(newer) = update.routing_table
        && control.routing_table.borrow().edition < newer.edition
    {
        control.routing_table.replace(newer);
        control.watch_changed.notify_waiters();
    }
}

/// Has the departures that this control host knows of and the lists that it followed reported to
/// the leader, which may have started after they were published.
fn tell_new_leader(control: &ControlHost) {
    let mut leader_reports = control.leader_reports.borrow_mut();
    leader_reports.forget_leader();
    for (change, heard_at) in control.roster.borrow().departures() {
        leader_reports.record_known_departure(change, heard_at);
    }
    control.observations_added.notify_waiters();
    let known = FleetReport {
        evidence: control.quarantine.borrow().known_evidence(),
        limits: control.allotment.borrow().known_reports(),
        entries: control.entry_directory.borrow().published().items.clone(),
        rests: control.rest_directory.borrow().known(clock::now()),
    };
    if !known.is_empty() {
        let mut unsent = control.unsent_reports.borrow_mut();
        unsent.push((clock::now(), known));
        control.observations_added.notify_waiters();
    }
}

/// Sends observations to the leader, for as long as the process runs.
pub(crate) async fn send_observations(control: Rc<ControlHost>) {
    let mut has_more = false;
    loop {
        if !has_more {
            control.observations_added.wait(HEARTBEAT_INTERVAL).await;
            compio::time::sleep(BATCH_DELAY).await;
        }
        has_more = false;
        let others = std::mem::take(&mut *control.unsent_observations.borrow_mut());
        let reports = std::mem::take(&mut *control.unsent_reports.borrow_mut());
        if control.is_leader() {
            // They came before this control host led. There are no heartbeats among them.
            let _ = watch::record_observations(&control, others);
            watch::record_fleet_report(&control, sum_reports(&reports, clock::now()));
            continue;
        }
        let Some(leader) = control.known_leader() else {
            put_back(&control, others, reports);
            compio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        let now = clock::now();
        let batch = control.leader_reports.borrow_mut().next_batch(leader, now);
        let observations = Observations {
            reporter: batch.has_departures().then(|| control.settings.node_id()),
            changes: batch.changes.clone(),
            heard_ms_ago: batch.heard_ms_ago.clone(),
            heartbeats: batch.heartbeats.clone(),
            fleet: sum_reports(&reports, now),
            ..others.clone()
        };
        if observations == Observations::default() {
            continue;
        }
        let addr = control.settings.internal_addr(leader);
        match control.rpc.call(addr, &observations, CALL_TIMEOUT).await {
            Ok(reply) => {
                let departures = reply.departures.unwrap_or_else(|| {
                    log_earlier_release(&batch, leader);
                    DeparturesHeld::ByEnough
                });
                has_more = record_taken(&control, &batch, &reply.lacking, departures);
                if departures == DeparturesHeld::ByTooFew {
                    compio::time::sleep(RETRY_INTERVAL).await;
                }
            }
            Err(e) => {
                log::debug!("the leader {leader} did not take the observations: {e}");
                put_back(&control, others, reports);
                compio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Records what the leader took. Returns whether changes wait to be sent.
fn record_taken(
    control: &ControlHost,
    batch: &ReportBatch,
    lacking: &[UpstreamId],
    departures: DeparturesHeld,
) -> bool {
    let mut leader_reports = control.leader_reports.borrow_mut();
    leader_reports.record_taken(batch, lacking, departures);
    control.departures_held.notify_waiters();
    leader_reports.has_unsent_changes()
}

/// Logs that a leader of an earlier release took departures. It holds them, and does not say who
/// else does.
fn log_earlier_release(batch: &ReportBatch, leader: NodeId) {
    if batch.has_departures() {
        emit(&Event::LeaderSaysLess { leader });
    }
}

/// All reports together, with their ages at `now`.
fn sum_reports(received: &[(Time, FleetReport)], now: Time) -> FleetReport {
    let mut sum = FleetReport::default();
    for (at, report) in received {
        sum.add(report.clone().aged(now.since(*at)));
    }
    sum
}

/// Keeps observations of entry hosts that could not be sent.
fn put_back(control: &ControlHost, others: Observations, mut reports: Vec<(Time, FleetReport)>) {
    reports.append(&mut control.unsent_reports.borrow_mut());
    control.unsent_reports.replace(reports);
    let mut unsent = control.unsent_observations.borrow_mut();
    add_missing(&mut unsent.stalled_heads, others.stalled_heads);
    add_missing(&mut unsent.left_replicas, others.left_replicas);
    add_missing(&mut unsent.unreached_replicas, others.unreached_replicas);
}

fn add_missing<T: PartialEq>(kept: &mut Vec<T>, added: Vec<T>) {
    for item in added {
        if kept.len() < MAX_UNSENT && !kept.contains(&item) {
            kept.push(item);
        }
    }
}
