//! The dispatch policies that are compared.

use derive_more::Display;

/// A dispatch policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Policy {
    /// The design, with requests beyond the rates of the contracts refused.
    #[display("design, limits")]
    Limit,
    /// The design, with spare capacity lent to requests beyond the rates.
    #[display("design, lending")]
    Lend,
    /// The design with one node that sees the load of all replicas without delay.
    #[display("one node, no lag")]
    Perfect,
    /// Each node sends to the replicas in turn. Engines work first in, first out.
    #[display("round robin, FIFO")]
    RoundRobin,
}
