//! What one entry node's attempts may still do.
//!
//! A claim may reach the log late or twice. It must not be granted once its
//! attempt was withdrawn. The node therefore numbers its attempts and tells with
//! each command the lowest number that is still open; below that nothing is
//! granted, and above it the withdrawn ones are remembered.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use base::Incarnation;

/// Attempts that one node may have open at once.
pub const MAX_OPEN_ATTEMPTS: u64 = 4_096;

/// What is known of one node's attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Session {
    incarnation: Incarnation,
    floor: u64,
    withdrawn: BTreeSet<u64>,
}

impl Session {
    /// Whether a claim of this attempt may be granted.
    pub(crate) fn admits(&mut self, attempt: AttemptId, floor: u64) -> bool {
        self.advance(attempt.incarnation, floor);
        self.is_open(attempt) && !self.withdrawn.contains(&attempt.sequence)
    }

    /// Sees to it that no claim of this attempt is granted from now on.
    pub(crate) fn withdraw(&mut self, attempt: AttemptId, floor: u64) {
        self.advance(attempt.incarnation, floor);
        if self.is_open(attempt) {
            self.withdrawn.insert(attempt.sequence);
        }
    }

    /// Ends all lives before this one.
    pub(crate) fn begin(&mut self, incarnation: Incarnation) {
        if self.incarnation < incarnation {
            *self = Self {
                incarnation,
                ..Self::default()
            };
        }
    }

    fn advance(&mut self, incarnation: Incarnation, floor: u64) {
        self.begin(incarnation);
        if incarnation == self.incarnation && self.floor < floor {
            self.floor = floor;
            self.withdrawn = self.withdrawn.split_off(&floor);
        }
    }

    fn is_open(&self, attempt: AttemptId) -> bool {
        let window = self.floor..self.floor.saturating_add(MAX_OPEN_ATTEMPTS);
        attempt.incarnation == self.incarnation && window.contains(&attempt.sequence)
    }
}
