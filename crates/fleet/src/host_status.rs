//! What a host of an engine answers when it is asked for its state.

use base::Fence;
use base::Incarnation;

/// What a host reports of its place in a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedPlace {
    /// The report names no replica. Not every engine reports places, so the host may belong to
    /// one.
    Unnamed,
    /// The host belongs to the replica of this epoch.
    In(Fence),
    /// The report names a replica in a way that cannot be read.
    Unreadable,
}

/// What a host reports about itself when it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostStatus {
    /// The host's incarnation, if reported.
    pub incarnation: Option<Incarnation>,
    /// How many orders the host has begun in this incarnation.
    pub begun_orders: u64,
    /// The host's place in a replica.
    pub place: ReportedPlace,
}
