//! A randomized soak test: runs the real programs as processes and injects faults from outside.
//!
//! A [`Plan`] of faults is generated from a seed. A [`run`] starts nodes, hosts and services,
//! puts [`Links`] proxies between the nodes, injects the faults while callers send requests,
//! and then checks the [`Record`] of what callers, operators and services observed. Each
//! violated guarantee is a [`Finding`].

mod check;
mod faults;
mod finding;
mod links;
mod load;
mod plan;
mod record;
mod run;
mod testbed;
mod watch;

pub use check::check;
pub use finding::Finding;
pub use links::Delivery;
pub use links::Links;
pub use plan::ClusterSize;
pub use plan::Fault;
pub use plan::Plan;
pub use plan::ScheduledFault;
pub use record::CallOutcome;
pub use record::Chat;
pub use record::KeyedCall;
pub use record::Record;
pub use record::VersionSample;
pub use run::Report;
pub use run::run;
