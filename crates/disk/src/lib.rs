//! A durable log with snapshots in one data folder.
//!
//! A [`Log`] stores opaque records. They are appended in batches, each in a frame
//! with a checksum, and are durable once [`Log::sync`] has returned. A snapshot replaces
//! all records before it, so that old segments can be removed. [`Log::open`] restores
//! what was stored: it truncates a torn tail and refuses damage elsewhere.
//!
//! All calls block, so they belong on a thread that may block.

mod error;
mod file_faults;
mod folder;
mod frame;
mod identity;
mod log;
mod restore;
mod segment;
mod snapshot;

pub use crate::error::OpenError;
pub use crate::error::WriteError;
pub use crate::file_faults::FaultPlan;
pub use crate::file_faults::FileFaults;
pub use crate::file_faults::FileOp;
pub use crate::log::Log;
pub use crate::log::Options;
pub use crate::log::Origin;
pub use crate::log::Restored;
pub use crate::log::Truncation;
