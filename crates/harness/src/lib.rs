//! Starts nodes and stand-ins as processes, for the demo and the process tests.
//!
//! A [`Cluster`] owns a temporary folder and its processes, which end when it is dropped. A
//! [`Caller`] sends requests to one node.

mod caller;
mod cluster;
mod crowd;
mod figures;
mod operator;
mod ports;
mod process;
mod rules;
mod spec;
mod text;

pub use caller::Caller;
pub use caller::Reply;
pub use cluster::Cluster;
pub use cluster::wait_until;
pub use crowd::Crowd;
pub use crowd::Script;
pub use figures::open_descriptors;
pub use figures::peak_memory;
pub use operator::Operator;
pub use ports::consecutive_free_ports;
pub use process::Process;
pub use process::program_path;
pub use rules::caller_secret;
pub use rules::rules_text;
pub use spec::EngineFault;
pub use spec::HostSpec;
pub use spec::NodeSpec;
pub use spec::ServiceSpec;
pub use text::expected_text;
