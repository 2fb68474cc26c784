//! The right to order and to grant in one data centre.

use base::Fence;
use base::Time;

/// A tenure as its holder may rely on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// The fencing number, larger than that of every earlier tenure.
    pub fence: Fence,
    /// When it ends, on the holder's own clock.
    pub until: Time,
}
