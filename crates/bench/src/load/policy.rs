//! The ways of dispatching that are compared.

use derive_more::Display;

/// A way of dispatching.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Policy {
    /// This design, with the rates of the contracts as limits.
    #[display("design, limits")]
    Limit,
    /// This design, with capacity lent beyond the rates.
    #[display("design, lending")]
    Lend,
    /// This design at one node that sees everything at once and owns all replicas.
    #[display("one node, no lag")]
    Perfect,
    /// Each node sends to the replicas in turn; engines work first in, first out.
    #[display("round robin, FIFO")]
    RoundRobin,
}
