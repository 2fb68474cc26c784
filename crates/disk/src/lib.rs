//! A durable log with snapshots in one data folder.
//!
//! A [`Log`] keeps opaque records. They are appended in batches, each a frame
//! with a checksum, and last once [`Log::sync`] has returned. A snapshot stands
//! for all records before it and lets old segments go. [`Log::open`] gives back
//! what was kept: a torn tail is cut, damage elsewhere is refused.
//!
//! All calls block. They belong on a thread that may wait.

mod error;
mod folder;
mod frame;
mod identity;
mod log;
mod restore;
mod segment;
mod snapshot;

pub use crate::error::OpenError;
pub use crate::error::WriteError;
pub use crate::log::Log;
pub use crate::log::Options;
pub use crate::log::Origin;
pub use crate::log::Restored;
pub use crate::log::Truncation;
