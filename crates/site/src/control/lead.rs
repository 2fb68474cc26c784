//! The leader's work: it sends orders, publishes the routing table and accepts configurations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;

use crate::control::ControlHost;
use crate::control::orders;
use crate::control::records::RecordWriter;
use crate::control::voter::VoterEnvironment;
use crate::events::Event;
use crate::events::emit;
use crate::events::join_parts;
use crate::message::ConfigText;
use crate::message::OfferConfigReply;
use crate::message::ReadConfigReply;
use base::ModelName;
use base::Time;
use base::UpstreamId;
use fleet::CompressedText;
use fleet::DecompressError;
use fleet::EntryReport;
use fleet::ReplicaRecord;
use form::Controller;
use quarantine::Quarantine;
use quarantine::QuarantineEvent;
use quorum::clock;
use state::ConfigOfferReply;
use state::Op;
use state::Reply;
use vote::ProposeError;

/// The longest time between two runs of the controller.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// After each run of the controller the loop pauses for this many times the run's duration. When
/// a thousand hosts start, changes request the next run before one has ended.
const REST_PER_TICK: u32 = 2;

/// Time between two updates of the load that callers offer.
const WORK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two removals of silent processes and expired connections.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long the voters may take to commit an entry of the log.
pub(crate) const COMMIT_TIMEOUT: Duration = Duration::from_millis(800);

/// Runs the controller, and carries out its orders while this control host leads, for as long as
/// the process runs.
pub(crate) async fn run_leader(control: Rc<ControlHost>) {
    let mut work_recorded_at = clock::now();
    let mut last_expiry_at = work_recorded_at;
    loop {
        control.controller_changed.wait(TICK_INTERVAL).await;
        let now = clock::now();
        let term = control.leader_term();
        let orders = {
            let mut controller = control.controller.borrow_mut();
            controller.set_term(term, now, || begin_term(&control, term));
            if term.is_some() && control.loads.borrow().has_offered_work() {
                controller.mark_traffic_begun();
            }
            if WORK_INTERVAL <= now.since(work_recorded_at) {
                work_recorded_at = now;
                controller.record_busy_replicas(&offered_work(&control));
            }
            if controller.has_draining_replicas() {
                controller.record_busy_heads(busy_heads(&control));
            }
            let orders = controller.tick(now);
            log_given_up(&mut controller);
            orders
        };
        for order in orders {
            orders::spawn_order(&control, order);
        }
        control.quarantine.borrow_mut().set_term(term, now);
        control.allotment.borrow_mut().set_term(term, now);
        control.entry_directory.borrow_mut().set_term(term, now);
        control.rest_directory.borrow_mut().set_term(term);
        if term.is_some() {
            RecordWriter::commit_changes(&control);
            publish_routing_table(&control);
            publish_notices(&control, now);
            publish_shares(&control, now);
            publish_entries(&control, now);
            publish_rests(&control, now);
        }
        compio::time::sleep(REST_PER_TICK * clock::now().since(now)).await;
        if EXPIRY_INTERVAL <= now.since(last_expiry_at) {
            last_expiry_at = now;
            control.roster.borrow_mut().remove_silent(now);
            control.leader_reports.borrow_mut().remove_silent(now);
            control.probes.borrow_mut().remove_silent(now);
            control.pool.close_expired();
        }
    }
}

/// Begins a term. Returns the replicas that it begins with.
fn begin_term(control: &ControlHost, term: Option<u64>) -> Vec<ReplicaRecord> {
    control.probes.borrow_mut().forget_losses();
    let replicas = control.local_voter.recorded_replicas();
    if let Some(term) = term {
        let records = replicas.len();
        emit(&Event::ReplicasTakenOver { term, records });
    }
    replicas
}

fn log_given_up(controller: &mut Controller) {
    for given_up in controller.take_given_up() {
        let left = given_up.left_hosts.iter();
        let left: Vec<&str> = left.map(UpstreamId::as_str).collect();
        emit(&Event::ReplicaGivenUp {
            replica: &given_up.replica,
            head: given_up.head.as_ref().map_or("-", UpstreamId::as_str),
            left: left.join(","),
            waited_ms: given_up.waited.as_millis(),
        });
    }
}

/// How many replicas of each model the requests of all entry hosts keep busy.
fn offered_work(control: &ControlHost) -> BTreeMap<ModelName, f64> {
    let all = control.loads.borrow().total(clock::now());
    let work = all.work.into_iter();
    work.map(|work| (work.model, work.offered)).collect()
}

/// The targets at which requests of any entry host run.
fn busy_heads(control: &ControlHost) -> BTreeSet<UpstreamId> {
    let all = control.loads.borrow().total(clock::now());
    let busy = all.loads.into_iter().filter(|load| 0 < load.requests);
    busy.map(|load| load.id).collect()
}

/// Publishes the controller's routing table if it is newer.
fn publish_routing_table(control: &ControlHost) {
    let Some(newer) = control.controller.borrow().routing_table() else {
        return;
    };
    if newer.edition <= control.routing_table.borrow().edition {
        return;
    }
    let shape = control.controller.borrow().shape(clock::now());
    emit(&Event::RoutingTablePublished {
        edition: newer.edition,
        serving: newer.serving.len(),
        shape: format!("{shape:?}"),
    });
    control.routing_table.replace(newer);
    control.watch_changed.notify_waiters();
}

/// Publishes the notices of suspected and banned requests if they have changed.
fn publish_notices(control: &ControlHost, now: Time) {
    let mut quarantine = control.quarantine.borrow_mut();
    record_alive_processes(control, &mut quarantine);
    let is_changed = quarantine.tick(now);
    for event in quarantine.take_events() {
        match &event {
            QuarantineEvent::Banned { parts, crashes } => emit(&Event::PartsBanned {
                parts: join_parts(parts),
                crashes: *crashes,
            }),
            QuarantineEvent::Lifted { parts, why } => emit(&Event::BanLifted {
                parts: join_parts(parts),
                why: why.to_string(),
            }),
        }
    }
    if is_changed {
        control.watch_changed.notify_waiters();
    }
}

/// Tells the quarantine which processes are heard though they are taken for ended.
fn record_alive_processes(control: &ControlHost, quarantine: &mut Quarantine) {
    let roster = control.roster.borrow();
    for (host, incarnation) in quarantine.ended_processes() {
        let known = roster.get(&host);
        let same = known.filter(|entry| entry.announcement.incarnation == incarnation);
        if let Some(entry) = same {
            quarantine.record_alive(&host, incarnation, entry.alive_at);
        }
    }
}

/// Publishes the entry hosts if they have changed.
fn publish_entries(control: &ControlHost, now: Time) {
    let mut entry_directory = control.entry_directory.borrow_mut();
    if entry_directory.tick(now) {
        let list = entry_directory.published();
        let is_cut = |entry: &&EntryReport| !entry.cut_from.is_empty();
        emit(&Event::EntriesPublished {
            edition: list.edition,
            entries: list.items.len(),
            cut: list.items.iter().filter(is_cut).count(),
        });
        control.watch_changed.notify_waiters();
    }
}

/// Publishes the rests that upstreams asked for if there are new ones.
fn publish_rests(control: &ControlHost, now: Time) {
    if control.rest_directory.borrow_mut().tick(now) {
        control.watch_changed.notify_waiters();
    }
}

/// Publishes the shares of limits if they have changed.
fn publish_shares(control: &ControlHost, now: Time) {
    let roster = control.roster.borrow();
    let heard = |id: &UpstreamId| Some(roster.get(id)?.announcement.incarnation);
    let mut allotment = control.allotment.borrow_mut();
    allotment.forget_ended_processes(heard, now);
    if allotment.tick(now) {
        let list = allotment.published();
        emit(&Event::SharesPublished {
            edition: list.edition,
            limited: list.items.len(),
        });
        control.watch_changed.notify_waiters();
    }
}

/// Proposes a configuration to the voters, if this control host leads.
pub(crate) async fn propose_config(
    control: &Rc<ControlHost>,
    configuration: ConfigText,
) -> OfferConfigReply {
    let version = configuration.version;
    let text = match configuration.text.decompress() {
        Ok(text) => text,
        Err(DecompressError::TooLong) => return OfferConfigReply::TooLarge,
        Err(e @ (DecompressError::InvalidBase64 | DecompressError::Corrupt)) => {
            let error = e.to_string();
            emit(&Event::ConfigUnreadable { version, error });
            return OfferConfigReply::Unknown;
        }
    };
    let op = Op::Offer(state::ConfigOffer {
        version,
        text: text.into(),
    });
    let reply = match control.local_voter.propose(op) {
        Ok(reply) => reply,
        Err(ProposeError::NotLeader { leader }) => return OfferConfigReply::NotLeading { leader },
        Err(ProposeError::Busy) => return OfferConfigReply::NotLeading { leader: None },
        Err(ProposeError::TooLarge { .. }) => return OfferConfigReply::TooLarge,
    };
    quorum::run_effects(&VoterEnvironment(Rc::clone(control)));
    match timeout(COMMIT_TIMEOUT, reply.recv()).await {
        Ok(Ok(Some(Reply::Offer(ConfigOfferReply::InForce | ConfigOfferReply::Kept { .. })))) => {
            OfferConfigReply::Accepted
        }
        Ok(Ok(Some(Reply::Offer(ConfigOfferReply::TooLarge { .. })))) => OfferConfigReply::TooLarge,
        Ok(Ok(None)) => OfferConfigReply::NotLeading { leader: None },
        Ok(Ok(Some(_)) | Err(_)) | Err(_) => OfferConfigReply::Unknown,
    }
}

/// Reads the newest configuration, if this control host leads.
pub(crate) fn read_config(control: &ControlHost) -> ReadConfigReply {
    if !control.is_leader() {
        let leader = control.known_leader();
        return ReadConfigReply::NotLeading { leader };
    }
    let (version, text) = control.local_voter.configuration();
    if text.is_empty() {
        return ReadConfigReply::None;
    }
    let active_config = control.active_config.borrow();
    let text = match active_config.version == version {
        true => active_config.text.clone(),
        false => CompressedText::compress(&text),
    };
    ReadConfigReply::Newest(ConfigText { version, text })
}
