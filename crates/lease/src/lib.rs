//! Who may order the engines of one data centre, and with which fencing number.
//!
//! The data centre's own entry nodes decide, so that a cut-off data centre goes
//! on. Each node listed as a granter runs a [`Granter`], each node that may be
//! the controller runs a [`Candidate`]. A majority of the granters makes a
//! [`Tenure`]: a fencing number and the time until which it holds.
//!
//! A tenure is safe without comparing clocks: the holder counts the lease from
//! when it sent its ask, a granter from when it received it, and the holder
//! gives up a margin for clocks that run at different speeds.

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
