//! The callers: what they called and what they were told.

use base::Time;
use order::Answer;
use order::Call;

/// One call as its caller sees it.
#[derive(Clone, Debug)]
pub struct Made {
    pub terms: Call,
    pub opened_at: Time,
    pub told: Option<(Time, Answer)>,
    /// Whether the caller no longer listens.
    pub left: bool,
}

/// All calls.
#[derive(Default)]
pub struct Callers {
    pub made: Vec<Made>,
}

impl Callers {
    pub fn open(&mut self, opened_at: Time, terms: &Call) -> usize {
        self.made.push(Made {
            terms: terms.clone(),
            opened_at,
            told: None,
            left: false,
        });
        self.made.len() - 1
    }

    pub fn terms(&self, call: usize) -> Call {
        self.made[call].terms.clone()
    }

    pub fn opened_at(&self, call: usize) -> Time {
        self.made[call].opened_at
    }

    pub fn leave(&mut self, call: usize) {
        self.made[call].left = true;
    }

    pub fn answer(&mut self, call: usize, now: Time, answer: Answer) {
        let made = &mut self.made[call];
        assert!(made.told.is_none(), "call {call} was answered twice");
        if !made.left {
            made.told = Some((now, answer));
        }
    }
}
