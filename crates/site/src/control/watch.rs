//! Answers calls of other control hosts and of entry hosts. The reply to a [`Watch`] is sent as
//! soon as something changes.

use std::rc::Rc;
use std::time::Duration;

use crate::control::ControlHost;
use crate::control::departures;
use crate::control::lead;
use crate::control::probe;
use crate::message::ConfigText;
use crate::message::FleetReport;
use crate::message::Observations;
use crate::message::ObservationsReply;
use crate::message::OfferConfig;
use crate::message::ReadConfig;
use crate::message::Watch;
use crate::message::WatchReply;
use crate::message::WatchUpdate;
use crate::message::Watcher;
use base::Fence;
use base::NodeId;
use base::UpstreamId;
use fleet::HeartbeatOutcome;
use fleet::Revision;
use fleet::RosterChange;
use fleet::UpdateOutcome;
use fleet::heard_times;
use forward::LoadReport;
use net::RpcMethods;
use quorum::clock;

/// The longest time that a watch call waits for a change. With the calls, and so at least this
/// often, loads are exchanged.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(200);

/// A watch call waits this long per follower, because each call costs processor time on this
/// host. With few followers loads are exchanged more often: prompts take some 50 ms to read, so
/// entry hosts that know each other's requests much later choose the same target.
const WATCH_WAIT_PER_FOLLOWER: Duration = Duration::from_millis(8);

/// The shortest time that a watch call waits for a change.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(30);

/// Changes for entry hosts are batched for this long per follower, so that a control host with
/// many followers answers each of them less often.
const BATCH_DELAY_PER_FOLLOWER: Duration = Duration::from_millis(1);

/// The longest time for which changes are batched.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(100);

/// The most reports of entry hosts that are kept while they cannot be sent to the leader.
const MAX_UNSENT_REPORTS: usize = 512;

/// Adds the methods that control hosts offer to each other and to entry hosts.
pub(crate) fn add_methods(methods: RpcMethods<ControlHost>) -> RpcMethods<ControlHost> {
    methods
        .register(
            |control: Rc<ControlHost>, call: Watch| async move { Ok(watch(control, call).await) },
        )
        .register(|control: Rc<ControlHost>, call: Observations| async move {
            Ok(take_observations(&control, call).await)
        })
        .register(|control: Rc<ControlHost>, call: OfferConfig| async move {
            Ok(lead::propose_config(&control, call.configuration).await)
        })
        .register(|control: Rc<ControlHost>, _: ReadConfig| async move {
            Ok(lead::read_config(&control))
        })
}

/// Records what another process observed. The reply to departures comes once enough control hosts
/// hold them.
async fn take_observations(control: &Rc<ControlHost>, call: Observations) -> ObservationsReply {
    let has_departures = call.changes.iter().any(RosterChange::is_departure);
    let reporter = call.reporter;
    let lacking = record_observations(control, call);
    let departures = match has_departures {
        true => Some(departures::wait_until_roster_held(control, reporter).await),
        false => None,
    };
    ObservationsReply {
        lacking,
        departures,
    }
}

async fn watch(control: Rc<ControlHost>, call: Watch) -> WatchReply {
    let needs_leader = call.watcher == Watcher::Control;
    if needs_leader && !control.is_leader() {
        let leader = control.known_leader();
        return WatchReply::NotLeading { leader };
    }
    if needs_leader {
        departures::record_follower(&control, &call);
    }
    if let Some(load_report) = call.load_report {
        let mut loads = control.loads.borrow_mut();
        loads.record_report(call.from, load_report, clock::now());
    }
    let has_newer = |control: &ControlHost| {
        call.incarnation != control.incarnation
            || call.revision < control.roster.borrow().revision()
            || call.version < control.active_config.borrow().version
            || call.edition < control.routing_table.borrow().edition
            || call.notices < control.quarantine.borrow().published().edition
            || call.shares < control.allotment.borrow().published().edition
            || call.entries < control.entry_directory.borrow().published().edition
            || call.rests < control.rest_directory.borrow().edition()
    };
    if !has_newer(&control) {
        control.watch_changed.wait(watch_wait(&control)).await;
    }
    if call.watcher == Watcher::Entry && has_newer(&control) {
        let followers = control.loads.borrow().follower_count();
        compio::time::sleep((BATCH_DELAY_PER_FOLLOWER * followers).min(MAX_BATCH_DELAY)).await;
    }
    if needs_leader && !control.is_leader() {
        let leader = control.known_leader();
        return WatchReply::NotLeading { leader };
    }
    let since = match call.incarnation == control.incarnation {
        true => call.revision,
        false => Revision::default(),
    };
    let mut update = update_since(&control, since);
    update.load_report = load_report_for(&control, call.from, call.watcher);
    update.configuration = newer_config(&control, call.version);
    let routing_table = control.routing_table.borrow();
    let is_newer = call.edition < routing_table.edition;
    update.routing_table = is_newer.then(|| routing_table.clone());
    let quarantine = control.quarantine.borrow();
    let is_newer = call.notices < quarantine.published().edition;
    update.notices = is_newer.then(|| quarantine.published().clone());
    let allotment = control.allotment.borrow();
    let is_newer = call.shares < allotment.published().edition;
    update.shares = is_newer.then(|| allotment.published().clone());
    let entry_directory = control.entry_directory.borrow();
    let is_newer = call.entries < entry_directory.published().edition;
    update.entries = is_newer.then(|| entry_directory.published().clone());
    let rest_directory = control.rest_directory.borrow();
    let is_newer = call.rests < rest_directory.edition();
    update.rests = is_newer.then(|| rest_directory.published(clock::now()));
    WatchReply::Update(Box::new(update))
}

/// How long a watch call waits for a change.
fn watch_wait(control: &ControlHost) -> Duration {
    let followers = control.loads.borrow().follower_count();
    (WATCH_WAIT_PER_FOLLOWER * followers).clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
}

fn update_since(control: &ControlHost, since: Revision) -> WatchUpdate {
    let now = clock::now();
    let confirmed_ago = match control.is_leader() {
        true => Some(Duration::ZERO),
        false => control.confirmed_at.get().map(|at| now.since(at)),
    };
    let roster = control.roster.borrow();
    WatchUpdate {
        incarnation: control.incarnation,
        revision: roster.revision(),
        changes: roster.changes_since(since),
        configuration: None,
        routing_table: None,
        notices: None,
        shares: None,
        entries: None,
        rests: None,
        unreachable: control.unreachable_heads(),
        confirmed_ago,
        controls: control.control_hosts().into_iter().collect(),
        load_report: None,
    }
}

fn newer_config(control: &ControlHost, known: base::Version) -> Option<ConfigText> {
    let active_config = control.active_config.borrow();
    (known < active_config.version).then(|| ConfigText {
        version: active_config.version,
        text: active_config.text.clone(),
    })
}

/// The load of all entry hosts, as far as the follower needs it.
fn load_report_for(
    control: &ControlHost,
    follower: NodeId,
    watcher: Watcher,
) -> Option<Rc<LoadReport>> {
    let now = clock::now();
    let mut loads = control.loads.borrow_mut();
    match watcher {
        Watcher::Entry => loads.report_for_entry(follower, now),
        Watcher::Control => loads.report_for_control(follower, now),
    }
}

/// Records what another process observed, and returns the processes whose heartbeats repeat
/// announcements that are not held here.
pub(crate) fn record_observations(
    control: &Rc<ControlHost>,
    observations: Observations,
) -> Vec<UpstreamId> {
    let now = clock::now();
    let mut lacking = Vec::new();
    let heard_at = heard_times(&observations.heard_ms_ago, now);
    for (change, heard_at) in observations.changes.into_iter().zip(heard_at) {
        let id = change.id().clone();
        let outcome = control.roster.borrow_mut().apply_change(change, heard_at);
        if outcome == UpdateOutcome::Changed {
            let mut reports = control.leader_reports.borrow_mut();
            reports.record_heard_elsewhere(&id);
        }
        control.record_update(&id, outcome);
    }
    for heartbeat in observations.heartbeats {
        let outcome = control
            .roster
            .borrow_mut()
            .record_heartbeat(&heartbeat, now);
        match outcome {
            HeartbeatOutcome::Refreshed => {
                control.record_update(&heartbeat.id, UpdateOutcome::Refreshed);
            }
            HeartbeatOutcome::Lacking => lacking.push(heartbeat.id),
            HeartbeatOutcome::Ignored => {}
        }
    }
    for epoch in observations.left_replicas {
        record_head_left(control, epoch);
    }
    pass_on_unreached(control, &observations.unreached_replicas);
    for head in observations.stalled_heads {
        probe::record_stalled_replica(control, &head);
    }
    record_fleet_report(control, observations.fleet);
    lacking
}

/// Records what entry hosts saw and all others are to know.
pub(crate) fn record_fleet_report(control: &ControlHost, report: FleetReport) {
    let now = clock::now();
    if report.is_empty() {
        return;
    }
    if control.is_leader() {
        control.quarantine.borrow_mut().record(report.evidence, now);
        let mut allotment = control.allotment.borrow_mut();
        let limits = report.limits.into_iter();
        limits.for_each(|report| allotment.record(report, now));
        let mut entry_directory = control.entry_directory.borrow_mut();
        let entries = report.entries.into_iter();
        entries.for_each(|report| entry_directory.record(report, now));
        let mut rest_directory = control.rest_directory.borrow_mut();
        let rests = report.rests.into_iter();
        rests.for_each(|rest| rest_directory.record(rest, now));
        control.controller_changed.notify_waiters();
        return;
    }
    let mut unsent = control.unsent_reports.borrow_mut();
    if unsent.len() < MAX_UNSENT_REPORTS {
        unsent.push((now, report));
        control.observations_added.notify_waiters();
    }
}

/// Records that the head host of a replica has left it.
fn record_head_left(control: &Rc<ControlHost>, epoch: Fence) {
    if control.is_leader() {
        control
            .controller
            .borrow_mut()
            .record_head_left(epoch, clock::now());
        control.controller_changed.notify_waiters();
        return;
    }
    control
        .unsent_observations
        .borrow_mut()
        .left_replicas
        .push(epoch);
    control.observations_added.notify_waiters();
}

/// Passes on that entry hosts could not reach the head hosts of replicas. It shows nothing about
/// them, but a leader of an earlier release waits for it.
fn pass_on_unreached(control: &ControlHost, unreached: &[Fence]) {
    if control.is_leader() {
        return;
    }
    // Many entry hosts report the same, and the wait is long, so it goes with the next batch.
    let mut unsent_observations = control.unsent_observations.borrow_mut();
    for epoch in unreached {
        if !unsent_observations.unreached_replicas.contains(epoch) {
            unsent_observations.unreached_replicas.push(*epoch);
        }
    }
}
