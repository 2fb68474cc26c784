//! The callers, with the calls that they made and the answers that they got.

use base::Time;
use order::Answer;
use order::Call;

/// A call as its caller sees it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub terms: Call,
    pub opened_at: Time,
    pub answered: Option<(Time, Answer)>,
    /// Whether the caller has disconnected.
    pub has_left: bool,
}

/// All calls of all callers.
#[derive(Default)]
pub struct Callers {
    pub calls: Vec<CallRecord>,
}

impl Callers {
    pub fn open(&mut self, opened_at: Time, terms: &Call) -> usize {
        self.calls.push(CallRecord {
            terms: terms.clone(),
            opened_at,
            answered: None,
            has_left: false,
        });
        self.calls.len() - 1
    }

    pub fn terms(&self, call: usize) -> Call {
        self.calls[call].terms.clone()
    }

    pub fn opened_at(&self, call: usize) -> Time {
        self.calls[call].opened_at
    }

    pub fn leave(&mut self, call: usize) {
        self.calls[call].has_left = true;
    }

    pub fn answer(&mut self, call: usize, now: Time, answer: Answer) {
        let record = &mut self.calls[call];
        assert!(record.answered.is_none(), "call {call} was answered twice");
        if !record.has_left {
            record.answered = Some((now, answer));
        }
    }
}
