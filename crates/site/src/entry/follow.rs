//! Follows a control host, the source of everything that an entry host needs to know.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::entry::EntryHost;
use crate::entry::ModelArrivals;
use crate::entry::Phase;
use crate::entry::leave_orders::send_leave_order;
use crate::entry::paths;
use crate::entry::targets::update_targets;
use crate::events::Event;
use crate::events::emit;
use crate::message::ConfigText;
use crate::message::FleetReport;
use crate::message::Observations;
use crate::message::ObservationsReply;
use crate::message::Watch;
use crate::message::WatchReply;
use crate::message::WatchUpdate;
use crate::message::Watcher;
use base::Incarnation;
use base::NodeId;
use base::Time;
use base::UpstreamId;
use fleet::Revision;
use forward::IncludedEntry;
use forward::Load;
use forward::LoadReport;
use forward::ModelWork;
use forward::Target;
use forward::TargetLoad;
use quorum::clock;

/// How long a control host may take to answer. Longer than it waits for a change.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

const RETRY_INTERVAL: Duration = Duration::from_millis(80);

/// How long a starting entry host waits for the nearest control host, which may not listen yet.
const START_WAIT: Duration = Duration::from_secs(1);

/// A control host is stale if no majority confirmed its configuration for this long. Part of the
/// time within which a configuration has to be in force.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(800);

/// Time between two checks whether the nearest control host should be probed.
const NEAREST_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Targets with output this recent are reported even if they have no requests.
const RECENT_OUTPUT: Duration = Duration::from_millis(900);

const ARRIVAL_COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// The assumed time of an answer until one has ended here.
const DEFAULT_ANSWER: Duration = Duration::from_millis(1_500);

/// What this entry host knows of the control host that it follows, and last reported to it.
#[derive(Debug, Default)]
struct FollowState {
    control: Option<NodeId>,
    /// The last control host that took a report of the load, and when it was asked.
    reported_to: Option<(NodeId, Time)>,
    incarnation: Incarnation,
    revision: Revision,
    heard_at: Time,
    work: Vec<ModelWork>,
    work_at: Time,
}

impl FollowState {
    /// This host, if another control host than `control` may still count it.
    fn counted_elsewhere(
        &self,
        entry: &EntryHost,
        control: NodeId,
        now: Time,
    ) -> Vec<IncludedEntry> {
        let other = self.reported_to.filter(|(other, _)| *other != control);
        let included = other.map(|(_, at)| IncludedEntry {
            node: entry.settings.node_id(),
            heard_ms_ago: now.since(at).as_millis() as u64,
        });
        included.into_iter().collect()
    }
}

/// Follows one control host after the other, for as long as the process runs.
pub(crate) async fn follow_control_host(entry: Rc<EntryHost>) {
    let mut state = FollowState::default();
    let start = clock::now();
    loop {
        let Some(control) = entry.followed_control_host() else {
            compio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        let asked = clock::now();
        let call = watch_call(&entry, &mut state, control, asked);
        let addr = entry.settings.internal_addr(control);
        match entry.rpc.call(addr, &call, CALL_TIMEOUT).await {
            Ok(WatchReply::Update(update)) => {
                if state.control != Some(control) {
                    emit(&Event::FollowStarted { control, addr });
                    state.control = Some(control);
                    // The one before may not have passed everything on.
                    report_again(&entry);
                }
                state.heard_at = asked;
                state.reported_to = Some((control, asked));
                let stale = is_stale(update.confirmed_ago);
                apply_update(&entry, &mut state, *update, asked);
                if stale {
                    // It answers but is cut off from the majority; another one may not be.
                    entry.selector.borrow_mut().record_cut_off(asked);
                }
            }
            Ok(WatchReply::NotLeading { .. }) => state.control = None,
            Err(e) => {
                if state.control.take().is_some() {
                    emit(&Event::FollowLost {
                        control,
                        error: e.to_string(),
                        silent_ms: asked.since(state.heard_at).as_millis(),
                    });
                }
                let starting =
                    state.heard_at == Time::ZERO && clock::now().since(start) < START_WAIT;
                if !starting {
                    entry.selector.borrow_mut().record_failure(clock::now());
                }
                compio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Returns to the nearest control host once it answers, for as long as the process runs.
pub(crate) async fn return_to_nearest(entry: Rc<EntryHost>) {
    loop {
        compio::time::sleep(NEAREST_CHECK_INTERVAL).await;
        let seeds = entry.seeds.borrow().clone();
        let nearest = entry
            .selector
            .borrow_mut()
            .nearest_to_probe(&seeds, clock::now());
        let Some(nearest) = nearest else {
            continue;
        };
        let addr = entry.settings.internal_addr(nearest);
        match entry
            .rpc
            .call(addr, &Observations::default(), CALL_TIMEOUT)
            .await
        {
            Ok(ObservationsReply { .. }) => entry.selector.borrow_mut().return_to_nearest(),
            Err(e) => log::debug!("the nearest control host does not answer: {e}"),
        }
    }
}

fn is_stale(confirmed_ago: Option<Duration>) -> bool {
    confirmed_ago.is_none_or(|ago| MAX_CONFIRMATION_AGE < ago)
}

fn watch_call(entry: &EntryHost, state: &mut FollowState, control: NodeId, now: Time) -> Watch {
    let span = now.since(state.work_at);
    if ARRIVAL_COUNT_INTERVAL <= span {
        let secs = span.as_secs_f64();
        let configuration = Rc::clone(&entry.configuration.borrow());
        let slots = configuration.engines().map(|(_, engine)| engine.slots);
        let slots = slots.max().unwrap_or(1).max(1);
        let mut arrivals = entry.arrivals.borrow_mut();
        let offered = |arrivals: &ModelArrivals| {
            let answer_secs = arrivals.answer_time.unwrap_or(DEFAULT_ANSWER).as_secs_f64();
            let answers = f64::from(arrivals.count) * answer_secs / f64::from(slots);
            (arrivals.prompt_secs + answers) / secs
        };
        state.work = arrivals
            .iter()
            .map(|(model, arrivals)| ModelWork {
                model: model.clone(),
                offered: offered(arrivals),
            })
            .collect();
        for arrivals in arrivals.values_mut() {
            arrivals.count = 0;
            arrivals.prompt_secs = 0.0;
        }
        state.work_at = now;
    }
    let targets = entry.targets.borrow();
    let recent_since = now - RECENT_OUTPUT;
    let load_of = |target: &Target| TargetLoad {
        id: target.id.clone(),
        requests: target.own_requests,
        unread_prompt_secs: target.own_prompt_secs,
        last_output_ms_ago: (recent_since <= target.last_output)
            .then(|| now.since(target.last_output).as_millis() as u64),
    };
    Watch {
        from: entry.settings.node_id(),
        incarnation: state.incarnation,
        revision: state.revision,
        version: entry.version.get(),
        edition: entry.routing_table.borrow().edition,
        notices: entry.part_guard.borrow().list().edition,
        shares: entry.limit_guard.borrow().list().edition,
        entries: entry.peers.borrow().list().edition,
        rests: entry.rests.borrow().edition(),
        watcher: Watcher::Entry,
        reports_departures: false,
        load_report: Some(LoadReport {
            entries: 1,
            loads: targets.active_targets(recent_since).map(load_of).collect(),
            work: state.work.clone(),
            included: state.counted_elsewhere(entry, control, now),
        }),
    }
}

fn apply_update(entry: &Rc<EntryHost>, state: &mut FollowState, update: WatchUpdate, asked: Time) {
    state.incarnation = update.incarnation;
    state.revision = update.revision;
    entry.selector.borrow_mut().set_controls(update.controls);
    if let Some(ago) = update.confirmed_ago {
        entry.key_freshness.borrow_mut().confirm(asked, ago);
    }
    let mut is_changed = !update.changes.is_empty();
    for change in update.changes {
        entry.roster.borrow_mut().follow_change(change, asked);
    }
    if let Some(newer) = update.configuration
        && entry.version.get() < newer.version
    {
        apply_configuration(entry, &newer);
        is_changed = true;
    }
    if let Some(newer) = update.routing_table
        && entry.routing_table.borrow().edition < newer.edition
    {
        entry.routing_table.replace(newer);
        is_changed = true;
    }
    if is_changed {
        update_targets(entry);
    }
    if let Some(newer) = update.notices {
        entry.part_guard.borrow_mut().apply(newer);
        entry.observations_added.notify_waiters();
    }
    if let Some(newer) = update.shares {
        entry.limit_guard.borrow_mut().apply(newer, clock::now());
        entry.capacity_changed.notify_waiters();
    }
    if let Some(newer) = update.entries {
        entry.peers.borrow_mut().apply(newer);
        paths::close_stale_tunnels(entry);
    }
    if let Some(newer) = update.rests {
        let mut rests = entry.rests.borrow_mut();
        rests.apply(newer, clock::now());
        rests.follow_restarts(&entry.targets.borrow(), clock::now());
    }
    if let Some(load_report) = update.load_report {
        apply_load_report(entry, &load_report);
    }
    for head in update.unreachable {
        send_leave_order(entry, head);
    }
}

/// Records the load of all entry hosts.
fn apply_load_report(entry: &EntryHost, load_report: &LoadReport) {
    entry.retry_budget.borrow_mut().entry_hosts = load_report.entries;
    let loads = load_report.loads.iter().map(|load| {
        let (requests, backlog) = (load.requests, load.unread_prompt_secs);
        (load.id.clone(), Load { requests, backlog })
    });
    let loads: BTreeMap<UpstreamId, Load> = loads.collect();
    entry.targets.borrow_mut().set_total_loads(&loads);
}

fn apply_configuration(entry: &EntryHost, newer: &ConfigText) {
    let version = newer.version;
    match newer.text.decompress() {
        Ok(text) => activate_config(entry, version, &text),
        Err(e) => emit(&Event::ConfigUnreadable {
            version,
            error: e.to_string(),
        }),
    }
}

fn activate_config(entry: &EntryHost, version: base::Version, text: &str) {
    match entry.platform.parse_configuration(text) {
        Ok(configuration) => {
            let routes = configuration.routes.values().map(Vec::len).sum();
            emit(&Event::ConfigInForce { version, routes });
            entry.max_head.set(configuration.caller_limits.head_bytes);
            entry.configuration.replace(Rc::new(configuration));
            entry.version.set(version);
            if entry.phase.get() == Phase::Starting {
                entry.phase.set(Phase::Serving);
            }
        }
        Err(findings) => {
            let error = findings.to_string();
            emit(&Event::ConfigUnreadable { version, error });
        }
    }
}

/// Reports stalled and unreached head hosts and left replicas to a control host while the process
/// runs.
pub(crate) async fn send_observations(entry: Rc<EntryHost>) {
    loop {
        entry.observations_added.wait(Duration::from_secs(1)).await;
        let call = Observations {
            stalled_heads: std::mem::take(&mut *entry.stalled_heads.borrow_mut()),
            left_replicas: std::mem::take(&mut *entry.left_replicas.borrow_mut()),
            unreached_replicas: std::mem::take(&mut *entry.unreached_replicas.borrow_mut()),
            fleet: FleetReport {
                evidence: entry.part_guard.borrow_mut().take_evidence(clock::now()),
                limits: entry.limit_guard.borrow_mut().take_reports(clock::now()),
                entries: paths::due_report(&entry).into_iter().collect(),
                rests: entry.rests.borrow_mut().take_reports(clock::now()),
            },
            ..Observations::default()
        };
        if call == Observations::default() {
            continue;
        }
        let seeds = entry.seeds.borrow().clone();
        let mut selector = entry.selector.borrow().clone();
        let mut is_taken = false;
        for _ in 0..3 {
            let Some(control) = selector.current(&seeds) else {
                break;
            };
            let addr = entry.settings.internal_addr(control);
            match entry.rpc.call(addr, &call, CALL_TIMEOUT).await {
                Ok(_) => {
                    is_taken = true;
                    break;
                }
                Err(e) => log::debug!("{control} did not take the observations: {e}"),
            }
            selector.record_failure(clock::now());
        }
        if !is_taken {
            report_again(&entry);
        }
    }
}

/// Has everything reported again that all other entry hosts are to know.
fn report_again(entry: &EntryHost) {
    entry.part_guard.borrow_mut().report_again();
    entry.limit_guard.borrow_mut().report_again();
    entry.rests.borrow_mut().report_again(clock::now());
    paths::report_again(entry);
}
