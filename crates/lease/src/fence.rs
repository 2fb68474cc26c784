//! Fencing numbers: never a smaller or equal one issued again.
//!
//! A new number is larger than what a majority of granters knows, than what any
//! host reported, and than a floor taken from the wall clock. The floor is what
//! remains when every granter lost its memory: it grows by [`PER_SECOND`] each
//! second, which is faster than bids can be made.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use base::Fence;

/// Fencing numbers at or beyond this are not believed.
pub const MAX_FENCE: Fence = Fence(1 << 60);

/// Fencing numbers that the floor advances in a second.
const PER_SECOND: u64 = 256;

/// Wall clocks beyond this are not believed: the year 36,812.
const MAX_WALL: u64 = 1 << 40;

/// Seconds since 1970 on a wall clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// The wall clock's reading, whatever its unit was.
    pub fn since_1970(span: Duration) -> Self {
        Self(span.as_secs())
    }

    /// The fencing number below which nothing is issued any more.
    pub(crate) fn floor(self) -> Fence {
        match self.0 < MAX_WALL {
            true => Fence(self.0 * PER_SECOND),
            false => Fence(0),
        }
    }
}

/// The larger of two fencing numbers, unless the new one is not believable.
pub(crate) fn raise(known: &mut Fence, seen: Fence) {
    if seen < MAX_FENCE {
        *known = (*known).max(seen);
    }
}
