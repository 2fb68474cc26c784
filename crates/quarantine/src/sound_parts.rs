//! When requests with a part were last answered.

use std::collections::BTreeMap;

use base::RequestPart;
use base::Time;

/// The times of the last answers, of a bounded number of parts. The part that was answered
/// longest ago is forgotten first.
#[derive(Clone, Debug)]
pub(crate) struct SoundParts {
    answered_at: BTreeMap<RequestPart, Time>,
    max_parts: usize,
}

impl SoundParts {
    pub fn new(max_parts: usize) -> Self {
        Self {
            answered_at: BTreeMap::new(),
            max_parts,
        }
    }

    /// Records that an answer to a request with the part went on at this time.
    pub fn record(&mut self, part: &RequestPart, at: Time) {
        match self.answered_at.get_mut(part) {
            Some(known) => *known = at.max(*known),
            None => {
                self.answered_at.insert(part.clone(), at);
                self.forget_oldest();
            }
        }
    }

    /// When a request with the part was last answered, if it is remembered.
    pub fn answered_at(&self, part: &RequestPart) -> Option<Time> {
        self.answered_at.get(part).copied()
    }

    /// Forgets the older half of the parts if there are too many.
    fn forget_oldest(&mut self) {
        if self.answered_at.len() <= self.max_parts {
            return;
        }
        let mut times: Vec<Time> = self.answered_at.values().copied().collect();
        let middle = times.len() / 2;
        let (_, middle, _) = times.select_nth_unstable(middle);
        let middle = *middle;
        self.answered_at.retain(|_, at| middle < *at);
    }
}
