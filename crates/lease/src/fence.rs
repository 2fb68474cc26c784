//! Fencing numbers, each larger than all that were issued before.
//!
//! A new number is larger than all that a majority of granters knows and that hosts reported,
//! and at least a floor taken from the wall clock. The floor matters when every granter lost
//! its state: it grows by [`FENCES_PER_SECOND`] each second, faster than bids can be made.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use base::Fence;

/// Fencing numbers at or above this are ignored as implausible.
pub const MAX_FENCE: Fence = Fence(1 << 60);

/// By how much the floor of the fencing numbers grows in a second.
const FENCES_PER_SECOND: u64 = 256;

/// Wall clocks at or beyond this, the year 36,812, are ignored as implausible.
const MAX_WALL_SECONDS: u64 = 1 << 40;

/// Seconds since 1970 on a wall clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// The wall time that is this long after 1970, in whole seconds.
    pub fn since_1970(since_1970: Duration) -> Self {
        Self(since_1970.as_secs())
    }

    /// The smallest fencing number that may be issued at this time.
    pub(crate) fn fence_floor(self) -> Fence {
        match self.0 < MAX_WALL_SECONDS {
            true => Fence(self.0 * FENCES_PER_SECOND),
            false => Fence(0),
        }
    }
}

/// Raises the known fencing number to a larger one, unless that one is implausible.
pub(crate) fn raise_fence(known: &mut Fence, seen: Fence) {
    if seen < MAX_FENCE {
        *known = (*known).max(seen);
    }
}
