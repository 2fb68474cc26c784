//! The durable replicated state: this node's voter if it is one, and the calls by which
//! any node reaches the voters.

mod driver;
mod group;
mod propose;
mod rpc;

pub use driver::hand_over_leadership;
pub use driver::open;
pub use driver::run_voter;
pub use group::operator_methods;
pub use propose::ProposalOutcome;
pub use propose::announce_incarnation;
pub use propose::key_status;
pub use propose::propose;
pub use rpc::methods;
