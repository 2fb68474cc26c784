//! One request at one target, counted for as long as it is there.

use std::rc::Rc;

use crate::entry::Entry;
use forward::TargetId;
use quorum::clock;

/// One request at one target. Dropped, it is counted out.
pub(crate) struct Turn {
    entry: Rc<Entry>,
    /// The target.
    pub id: TargetId,
    /// What its prompt takes, in seconds, until it was read.
    reading: f64,
    flows: bool,
}

impl Turn {
    /// Counts a request in.
    pub fn open(entry: &Rc<Entry>, id: TargetId, reading: f64) -> Self {
        let mut board = entry.board.borrow_mut();
        board.record_sent(&id, reading, clock::now());
        drop(board);
        Self {
            entry: Rc::clone(entry),
            id,
            reading,
            flows: false,
        }
    }

    /// Takes that its stream has given an event.
    pub fn flow(&mut self) {
        if !self.flows {
            self.flows = true;
            let mut board = self.entry.board.borrow_mut();
            board.record_stream_start(&self.id);
            board.record_prompt_read(&self.id, std::mem::take(&mut self.reading));
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let mut board = self.entry.board.borrow_mut();
        board.record_ended(&self.id);
        board.record_prompt_read(&self.id, self.reading);
        if self.flows {
            board.record_stream_end(&self.id);
        }
        drop(board);
        self.entry.freed.ring();
    }
}

/// One request at this entry host. Dropped, it is counted out.
pub(crate) struct InFlight(Rc<Entry>);

impl InFlight {
    /// Counts a request in.
    pub fn open(entry: &Rc<Entry>) -> Self {
        entry.in_flight.set(entry.in_flight.get() + 1);
        Self(Rc::clone(entry))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
