//! Guards that count a request for as long as it is at a target or at this entry host.

use std::rc::Rc;

use crate::entry::EntryHost;
use forward::TargetId;
use quorum::clock;

/// Counts a request at a target until dropped.
pub(crate) struct AttemptGuard {
    entry: Rc<EntryHost>,
    pub id: TargetId,
    /// How long the target needs to read the prompt, in seconds. Zero once it has been read.
    prompt_secs: f64,
    has_events: bool,
}

impl AttemptGuard {
    pub fn new(entry: &Rc<EntryHost>, id: TargetId, prompt_secs: f64) -> Self {
        let mut targets = entry.targets.borrow_mut();
        targets.record_sent(&id, prompt_secs, clock::now());
        drop(targets);
        Self {
            entry: Rc::clone(entry),
            id,
            prompt_secs,
            has_events: false,
        }
    }

    /// Records that the request's stream has produced an event.
    pub fn record_first_event(&mut self) {
        if !self.has_events {
            self.has_events = true;
            let mut targets = self.entry.targets.borrow_mut();
            targets.record_stream_start(&self.id);
            targets.record_prompt_read(&self.id, std::mem::take(&mut self.prompt_secs));
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let mut targets = self.entry.targets.borrow_mut();
        targets.record_ended(&self.id);
        targets.record_prompt_read(&self.id, self.prompt_secs);
        if self.has_events {
            targets.record_stream_end(&self.id);
        }
        drop(targets);
        self.entry.capacity_changed.notify_waiters();
    }
}

/// Counts a request at this entry host until dropped.
pub(crate) struct InFlightGuard(Rc<EntryHost>);

impl InFlightGuard {
    pub fn new(entry: &Rc<EntryHost>) -> Self {
        entry.in_flight.set(entry.in_flight.get() + 1);
        Self(Rc::clone(entry))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
