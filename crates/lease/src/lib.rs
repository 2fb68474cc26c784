//! The lease for the controller of a data centre, which sends orders to its engines.
//!
//! The data centre's own entry nodes grant it, so that a data centre that is cut off keeps
//! working. Each node listed as a granter runs a [`Granter`], and each node that may become
//! the controller runs a [`Candidate`]. A lease granted by a majority gives a [`Tenure`]: a
//! fencing number and the time until which the lease is held.
//!
//! A tenure is safe without comparing clocks: the holder measures the lease from when it sent
//! its request and a granter from when it received it. The holder also subtracts a margin for
//! clocks that run at different speeds.

mod bid;
mod candidate;
mod config;
mod fence;
mod granter;
mod lease;
mod message;

pub use candidate::Candidate;
pub use candidate::Tenure;
pub use config::Config;
pub use config::MAX_DRIFT_DIVISOR;
pub use config::MAX_LEASE_TIME;
pub use fence::MAX_FENCE;
pub use fence::WallTime;
pub use granter::Granter;
pub use granter::PersistedState;
pub use granter::Promise;
pub use granter::Reply;
pub use lease::Lease;
pub use lease::Output;
pub use message::Claim;
pub use message::Holder;
pub use message::Message;
pub use message::OutgoingMessage;
pub use message::Refusal;
