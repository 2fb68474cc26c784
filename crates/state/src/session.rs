//! Which attempts of an entry node may still be granted a claim.
//!
//! A claim may reach the log late or twice. It must not be granted once its
//! attempt was withdrawn. The node therefore numbers its attempts and sends with
//! each command the lowest number that may still claim, the floor. No claim below the
//! floor is granted, and the withdrawn attempts above it are kept.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use base::Incarnation;

/// The most attempts that a node may have open: claims further above its floor are
/// not granted.
pub const MAX_OPEN_ATTEMPTS: u64 = 4_096;

/// What the ledger knows of the attempts of one node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Session {
    incarnation: Incarnation,
    floor: u64,
    withdrawn: BTreeSet<u64>,
}

impl Session {
    /// Whether a claim of this attempt may be granted, after raising the floor.
    pub(crate) fn may_grant(&mut self, attempt: AttemptId, floor: u64) -> bool {
        self.advance(attempt.incarnation, floor);
        self.is_open(attempt) && !self.withdrawn.contains(&attempt.sequence)
    }

    /// Withdraws the attempt: no claim of it is granted from now on.
    pub(crate) fn withdraw(&mut self, attempt: AttemptId, floor: u64) {
        self.advance(attempt.incarnation, floor);
        if self.is_open(attempt) {
            self.withdrawn.insert(attempt.sequence);
        }
    }

    /// Ends all incarnations of the node before this one.
    pub(crate) fn end_incarnations_before(&mut self, incarnation: Incarnation) {
        if self.incarnation < incarnation {
            *self = Self {
                incarnation,
                ..Self::default()
            };
        }
    }

    /// Moves on to a newer incarnation or a higher floor.
    fn advance(&mut self, incarnation: Incarnation, floor: u64) {
        self.end_incarnations_before(incarnation);
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
