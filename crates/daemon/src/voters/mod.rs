//! The durable state: this node's part among the voters, and the way to it for
//! nodes that are none.

mod driver;
mod group;
mod propose;
mod rpc;

pub use driver::drive_on;
pub use driver::hand_over;
pub use driver::open;
pub use group::operator_methods;
pub use propose::Fate;
pub use propose::announce_life;
pub use propose::propose;
pub use propose::standing;
pub use rpc::methods;
