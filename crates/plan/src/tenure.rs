//! The right to order hosts and grant routes in one data centre, for a limited time.

use base::Fence;
use base::Time;

/// The period in which one process is the controller of a data centre, as that process
/// may rely on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// The fencing number, larger than that of every earlier tenure of the data centre.
    pub fence: Fence,
    /// The end of the tenure, on the holder's own clock.
    pub until: Time,
}
