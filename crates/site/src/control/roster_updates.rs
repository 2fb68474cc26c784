//! Passes changes of the roster on to the controller and to followers.

use crate::control::ControlHost;
use crate::events::Event;
use crate::events::emit;
use base::UpstreamId;
use fleet::Announcement;
use fleet::RosterEntry;
use fleet::UpdateOutcome;
use quorum::clock;

impl ControlHost {
    /// Passes the outcome of a roster update on to the controller and to followers.
    pub fn record_update(&self, id: &UpstreamId, outcome: UpdateOutcome) {
        let roster = self.roster.borrow();
        match (outcome, roster.get(id)) {
            (UpdateOutcome::Ignored, _) => return,
            (_, Some(entry)) => self.record_heard(entry),
            (_, None) => self.controller.borrow_mut().record_departure(id),
        }
        if outcome == UpdateOutcome::Changed {
            match roster.get(id) {
                Some(entry) => emit(&Event::UpstreamChanged {
                    id,
                    service: &entry.announcement.service,
                    what: describe_announcement(&entry.announcement),
                }),
                None => emit(&Event::UpstreamGone { id }),
            }
            self.watch_changed.notify_waiters();
            self.controller_changed.notify_waiters();
        }
    }

    fn record_heard(&self, entry: &RosterEntry) {
        let announcement = &entry.announcement;
        let (incarnation, heard_at) = (announcement.incarnation, entry.heard_at);
        let mut probes = self.probes.borrow_mut();
        let stays_lost = probes.record_heard(&announcement.id, incarnation, heard_at);
        let mut controller = self.controller.borrow_mut();
        controller.record_announcement(announcement, heard_at);
        if stays_lost {
            controller.mark_lost(&announcement.id, incarnation, clock::now());
        }
    }
}

/// Summarises an announcement for the log.
fn describe_announcement(announcement: &Announcement) -> String {
    let leaving = announcement.leaving;
    let addr = announcement.addr;
    let incarnation = announcement.incarnation;
    match (&announcement.engine, announcement.place()) {
        (Some(engine), Some(place)) => {
            let staged = engine.staged.last().map_or("-", |model| model.as_str());
            let (replica, rank, state) = (&place.replica, place.rank, place.state);
            format!(
                "life={incarnation} leaving={leaving} staged={staged} replica={replica} rank={rank} state={state:?}"
            )
        }
        (Some(engine), None) => {
            let staged = engine.staged.last().map_or("-", |model| model.as_str());
            format!("life={incarnation} leaving={leaving} staged={staged} replica=-")
        }
        (None, _) => format!("life={incarnation} leaving={leaving} addr={addr}"),
    }
}
