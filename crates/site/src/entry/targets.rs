//! Derives the targets of an entry host from the roster and the routing table.

use std::rc::Rc;

use crate::entry::EntryHost;
use base::UpstreamId;
use fleet::Announcement;
use fleet::Configuration;
use fleet::ServingReplica;
use forward::Target;
use quorum::clock;

/// Updates the targets from the roster and the routing table.
pub(crate) fn update_targets(entry: &EntryHost) {
    let configuration = Rc::clone(&entry.configuration.borrow());
    let roster = entry.roster.borrow();
    let routing_table = entry.routing_table.borrow();
    let plain = roster.present_entries().filter_map(|known| {
        let service = configuration.services.get(&known.announcement.service)?;
        let is_plain = service.engine.is_none() && !known.announcement.leaving;
        is_plain.then(|| target_from(&known.announcement, known.announcement.slots))
    });
    let served = routing_table.serving.iter().filter_map(|serving| {
        let head = &roster.get(&serving.head)?.announcement;
        matches_routing_table(head, serving).then_some(())?;
        engine_target(&configuration, head, serving)
    });
    let targets = plain.chain(served).collect();
    entry.targets.borrow_mut().set_targets(targets);
    let targets = entry.targets.borrow();
    let mut rests = entry.rests.borrow_mut();
    rests.follow_restarts(&targets, clock::now());
    let is_known = |id: &UpstreamId| targets.get(id).is_some();
    entry.paths.borrow_mut().retain(is_known);
    entry.capacity_changed.notify_waiters();
}

/// Whether a head host's announcement agrees with the routing table.
fn matches_routing_table(head: &Announcement, serving: &ServingReplica) -> bool {
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
        intake: serving.intake,
        ..target_from(head, engine.slots)
    })
}

fn target_from(announcement: &Announcement, slots: u32) -> Target {
    Target::idle(
        (announcement.id.clone(), announcement.incarnation),
        announcement.addr,
        announcement.service.clone(),
        announcement.centre.clone(),
        slots,
    )
}
