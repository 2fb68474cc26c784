//! Starts nodes and simulated engines and services as processes, for the demo and for tests.
//!
//! A [`Cluster`] owns a temporary folder and every process that it started. Dropping it ends
//! all of them. A [`Caller`] sends requests to one node as a caller does.

mod caller;
mod cluster;
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
