//! Follows a control host: everything that an entry host has to know comes from there.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;

use crate::entry::Arrivals;
use crate::entry::Entry;
use crate::entry::Phase;
use crate::events::Event;
use crate::events::emit;
use crate::message::ConfigText;
use crate::message::News;
use crate::message::Tell;
use crate::message::Told;
use crate::message::Unreachable;
use crate::message::Watch;
use crate::message::Watched;
use crate::message::Watcher;
use base::Incarnation;
use base::NodeId;
use base::Time;
use base::UpstreamId;
use fleet::Announcement;
use fleet::Configuration;
use fleet::Revision;
use fleet::ServingReplica;
use form::Action;
use forward::Health;
use forward::Load;
use forward::LoadReport;
use forward::ModelWork;
use forward::Target;
use forward::TargetLoad;
use quorum::clock;

/// How long a control host may take to answer: longer than it waits for something new.
const WITHIN: Duration = Duration::from_millis(600);

/// Time between two tries to find a control host.
const RETRY: Duration = Duration::from_millis(80);

/// How long after its start an entry host waits for the nearest control host.
const PATIENCE: Duration = Duration::from_secs(1);

/// What a control host knows is stale if no majority stood behind it for this long: a part
/// of the time in which a configuration has to be in force.
const STALE: Duration = Duration::from_millis(800);

/// How often it is looked whether the nearest control host is to be asked again.
const LOOK_HOME: Duration = Duration::from_millis(500);

/// A target that gave something this lately is told of.
const MOVED_LATELY: Duration = Duration::from_millis(900);

/// How long a connection to a host may take that is to leave.
const LEAVE_WITHIN: Duration = Duration::from_millis(300);

/// Time between two tries to tell it.
const LEAVE_AGAIN: Duration = Duration::from_millis(700);

/// The time over which arrivals are counted.
const WORK_SPAN: Duration = Duration::from_secs(1);

/// How long an answer takes before one was seen.
const USUAL_ANSWER: Duration = Duration::from_millis(1_500);

/// What is known of a control host's state.
#[derive(Debug, Default)]
struct Known {
    control: Option<NodeId>,
    life: Incarnation,
    revision: Revision,
    heard: Time,
    work: Vec<ModelWork>,
    work_at: Time,
}

/// Follows one control host after the other, for as long as the process runs.
pub(crate) async fn follow_on(entry: Rc<Entry>) {
    let mut known = Known::default();
    let began = clock::now();
    loop {
        let Some(control) = entry.followed() else {
            compio::time::sleep(RETRY).await;
            continue;
        };
        let asked = clock::now();
        let call = call(&entry, &mut known, asked);
        let addr = entry.settings.internal(control);
        match entry.peers.call(addr, &call, WITHIN).await {
            Ok(Watched::News(news)) => {
                if known.control != Some(control) {
                    emit(&Event::FollowBegan { control, addr });
                    known.control = Some(control);
                }
                known.heard = asked;
                let stale = is_stale(news.confirmed_ago);
                take(&entry, &mut known, *news, asked);
                if stale {
                    // It answers, but is cut off from the majority: another one may not be.
                    entry.following.borrow_mut().record_cut_off(asked);
                }
            }
            Ok(Watched::NotLeading { .. }) => known.control = None,
            Err(e) => {
                if known.control.take().is_some() {
                    emit(&Event::FollowLost {
                        control,
                        error: e.to_string(),
                        silent_ms: asked.since(known.heard).as_millis(),
                    });
                }
                // At the start the nearest one may not listen yet.
                let begins = known.heard == Time::ZERO && clock::now().since(began) < PATIENCE;
                if !begins {
                    entry.following.borrow_mut().record_failure(clock::now());
                }
                compio::time::sleep(RETRY).await;
            }
        }
    }
}

/// Goes back to the nearest control host once it answers, for as long as the process runs.
pub(crate) async fn go_home_on(entry: Rc<Entry>) {
    loop {
        compio::time::sleep(LOOK_HOME).await;
        let seeds = entry.seeds.borrow().clone();
        let nearest = entry
            .following
            .borrow_mut()
            .nearest_to_probe(&seeds, clock::now());
        let Some(nearest) = nearest else {
            continue;
        };
        let addr = entry.settings.internal(nearest);
        match entry.peers.call(addr, &Tell::default(), WITHIN).await {
            Ok(Told {}) => entry.following.borrow_mut().return_to_nearest(),
            Err(e) => log::debug!("the nearest control host does not answer: {e}"),
        }
    }
}

/// Whether what a control host knows may be long out of date.
fn is_stale(confirmed_ago: Option<Duration>) -> bool {
    confirmed_ago.is_none_or(|ago| STALE < ago)
}

fn call(entry: &Entry, known: &mut Known, now: Time) -> Watch {
    let span = now.since(known.work_at);
    if WORK_SPAN <= span {
        let secs = span.as_secs_f64();
        let configuration = Rc::clone(&entry.configuration.borrow());
        let slots = configuration.engines().map(|(_, engine)| engine.slots);
        let slots = slots.max().unwrap_or(1).max(1);
        let mut arrivals = entry.arrivals.borrow_mut();
        let offered = |arrivals: &Arrivals| {
            let takes = arrivals.takes.unwrap_or(USUAL_ANSWER).as_secs_f64();
            let answers = f64::from(arrivals.count) * takes / f64::from(slots);
            (arrivals.prompt_secs + answers) / secs
        };
        known.work = arrivals
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
        known.work_at = now;
    }
    let board = entry.board.borrow();
    let lately = now - MOVED_LATELY;
    let load = |target: &Target| TargetLoad {
        id: target.id.clone(),
        requests: target.own_requests,
        unread_prompt_secs: target.own_prompt_secs,
        last_output_ms_ago: (lately <= target.last_output)
            .then(|| now.since(target.last_output).as_millis() as u64),
    };
    Watch {
        from: entry.settings.node(),
        life: known.life,
        revision: known.revision,
        version: entry.version.get(),
        edition: entry.directions.borrow().edition,
        watcher: Watcher::Entry,
        tally: Some(LoadReport {
            entries: 1,
            loads: board.active_targets(lately).map(load).collect(),
            work: known.work.clone(),
        }),
    }
}

fn take(entry: &Rc<Entry>, known: &mut Known, news: News, asked: Time) {
    known.life = news.life;
    known.revision = news.revision;
    entry.following.borrow_mut().set_controls(news.controls);
    if let Some(ago) = news.confirmed_ago {
        entry.keys.borrow_mut().confirm(asked, ago);
    }
    let mut is_changed = !news.changes.is_empty();
    for change in news.changes {
        entry.roster.borrow_mut().apply_change(change, asked);
    }
    if let Some(newer) = news.configuration
        && entry.version.get() < newer.version
    {
        take_configuration(entry, &newer);
        is_changed = true;
    }
    if let Some(newer) = news.directions
        && entry.directions.borrow().edition < newer.edition
    {
        entry.directions.replace(newer);
        is_changed = true;
    }
    if is_changed {
        retarget(entry);
    }
    if let Some(tally) = news.tally {
        take_tally(entry, &tally);
    }
    for host in news.unreachable {
        take_leave(entry, host);
    }
}

/// Takes what all entry hosts have under way.
fn take_tally(entry: &Entry, tally: &LoadReport) {
    entry.budget.borrow_mut().entry_hosts = tally.entries;
    let loads = tally.loads.iter().map(|load| {
        let (requests, backlog) = (load.requests, load.unread_prompt_secs);
        (load.id.clone(), Load { requests, backlog })
    });
    let loads: BTreeMap<UpstreamId, Load> = loads.collect();
    entry.board.borrow_mut().set_total_loads(&loads);
}

/// Tells a first host to leave that the leader cannot reach, and the leader if it did.
fn take_leave(entry: &Rc<Entry>, host: Unreachable) {
    if !entry.leaving.borrow_mut().insert(host.epoch) {
        return;
    }
    let entry = Rc::clone(entry);
    compio::runtime::spawn(async move {
        let action = Action::Leave {
            replica: host.replica.clone(),
            epoch: host.epoch,
        };
        let req = entry.platform.order(&action, None);
        let told = async {
            let mut connection = entry.pool.open(host.addr, LEAVE_WITHIN).await.ok()?;
            let response = connection.request(req).await.ok()?;
            Some(response.status().is_success())
        };
        let told = timeout(2 * LEAVE_WITHIN, told).await;
        let left = matches!(told, Ok(Some(true)));
        emit(&Event::LeaveTold {
            host: &host.host,
            replica: &host.replica,
            left,
        });
        if left {
            entry.left.borrow_mut().push(host.epoch);
            entry.telling.ring();
        }
        compio::time::sleep(LEAVE_AGAIN).await;
        entry.leaving.borrow_mut().remove(&host.epoch);
    })
    .detach();
}

fn take_configuration(entry: &Entry, newer: &ConfigText) {
    let version = newer.version;
    match newer.text.decompress() {
        Ok(text) => bring_into_force(entry, version, &text),
        Err(e) => emit(&Event::ConfigUnreadable {
            version,
            error: e.to_string(),
        }),
    }
}

fn bring_into_force(entry: &Entry, version: base::Version, text: &str) {
    match entry.platform.configuration(text) {
        Ok(configuration) => {
            let routes = configuration.routes.values().map(Vec::len).sum();
            emit(&Event::ConfigInForce { version, routes });
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

/// Works the targets out from what upstreams say and the directions.
fn retarget(entry: &Entry) {
    let configuration = Rc::clone(&entry.configuration.borrow());
    let roster = entry.roster.borrow();
    let directions = entry.directions.borrow();
    let plain = roster.present_entries().filter_map(|known| {
        let service = configuration.services.get(&known.announcement.service)?;
        let is_plain = service.engine.is_none() && !known.announcement.leaving;
        is_plain.then(|| target(&known.announcement, known.announcement.slots))
    });
    let served = directions.serving.iter().filter_map(|serving| {
        let head = &roster.get(&serving.head)?.announcement;
        serves(head, serving).then_some(())?;
        engine_target(&configuration, head, serving)
    });
    let targets = plain.chain(served).collect();
    entry.board.borrow_mut().set_targets(targets);
    entry.freed.ring();
}

/// Whether a first host says nothing that speaks against the directions.
fn serves(head: &Announcement, serving: &ServingReplica) -> bool {
    let place = head.place();
    let fits = place.is_some_and(|place| place.epoch == serving.epoch && place.state.may_serve());
    head.incarnation == serving.incarnation && !head.leaving && fits
}

fn engine_target(
    configuration: &Configuration,
    head: &Announcement,
    serving: &ServingReplica,
) -> Option<Target> {
    let service = configuration.services.get(&serving.service)?;
    let engine = service.engine.as_ref()?;
    let model = engine.model(&serving.model)?;
    Some(Target {
        model: Some(serving.model.clone()),
        time_factor: model.time_factor,
        ..target(head, engine.slots)
    })
}

fn target(said: &Announcement, slots: u32) -> Target {
    Target {
        id: said.id.clone(),
        incarnation: said.incarnation,
        addr: said.addr,
        service: said.service.clone(),
        model: None,
        centre: said.centre.clone(),
        slots,
        time_factor: 1.0,
        own_requests: 0,
        other_requests: 0,
        own_prompt_secs: 0.0,
        other_prompt_secs: 0.0,
        streams: 0,
        health: Health::default(),
        last_output: Time::ZERO,
        busy_since: Time::ZERO,
    }
}

/// Tells control hosts of first hosts that stand still, for as long as the process runs.
pub(crate) async fn tell_on(entry: Rc<Entry>) {
    loop {
        entry.telling.wait(Duration::from_secs(1)).await;
        let call = Tell {
            still: std::mem::take(&mut *entry.still.borrow_mut()),
            left: std::mem::take(&mut *entry.left.borrow_mut()),
            ..Tell::default()
        };
        if call == Tell::default() {
            continue;
        }
        let seeds = entry.seeds.borrow().clone();
        let mut following = entry.following.borrow().clone();
        for _ in 0..3 {
            let Some(control) = following.current(&seeds) else {
                break;
            };
            let addr = entry.settings.internal(control);
            match entry.peers.call(addr, &call, WITHIN).await {
                Ok(_) => break,
                Err(e) => log::debug!("{control} cannot be told: {e}"),
            }
            following.record_failure(clock::now());
        }
    }
}
