//! The JSON-RPC calls between processes.
//!
//! Each call is a type that implements [`Call`], with its method and its reply. Entry
//! nodes serve the calls in [`upstream`] to hosts and services, those in [`operator`]
//! to the command-line tool and those in [`peer`] to each other. Engines serve the
//! calls in [`engine`], control hosts of a deployment those in [`deployment`].

pub mod deployment;
pub mod engine;
pub mod operator;
pub mod peer;
pub mod upstream;

mod call;
mod compact_load;

pub use call::Call;
pub use call::Fault;
pub use call::FaultKind;
pub use call::UnreadableReply;
pub use call::decode_reply;
pub use call::encode_call;
pub use compact_load::CompactLoad;
