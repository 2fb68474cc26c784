//! Decides what a process may hold in memory for the callers at its listeners.
//!
//! A process shares a small machine among callers that it doesn't control. Some send large
//! bodies, stop short of their end, or take no answer, and stay. [`Machine`] says how much
//! memory and how many descriptors there are, and divides them. [`MemoryAccount`] counts what
//! each connection holds, and decides who is refused, and whose connection is given up, when
//! memory or connections are short:
//!
//! - Small requests have a part that large ones can't take, and answers one that requests can't
//!   take.
//! - First to be given up are connections whose peer has neither sent nor taken anything for a
//!   while.
//! - Then, of large bodies that still arrive, the latest yield to earlier ones, so that some
//!   always come to their end.
//!
//! The crate does no I/O and reads no clock.

mod account;
mod connection;
mod figures;
mod machine;

pub use account::Growth;
pub use account::MemoryAccount;
pub use account::Opened;
pub use connection::ConnectionId;
pub use figures::Figures;
pub use machine::Holding;
pub use machine::ListenerShare;
pub use machine::Machine;
