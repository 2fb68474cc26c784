//! Chooses a replica for each request.
//!
//! One [`Router`] stands at each entry node. It predicts the time to the first
//! token and the token rate of a request at each replica from load reports that
//! lag, corrected by what this node sent since and by what the other nodes
//! probably sent. It takes a nearby replica unless a far one is worth the link,
//! treats cached prefixes as a hint, and leaves out replicas that turned slow.

mod backlog_fraction;
mod candidate;
mod config;
mod forecast;
mod in_flight;
mod outlier_detector;
mod pool;
mod prefix;
mod replica;
mod router;
mod sample;

pub use candidate::Candidate;
pub use candidate::Choice;
pub use candidate::Length;
pub use candidate::NoChoice;
pub use candidate::ReplicaSlice;
pub use candidate::RouteRequest;
pub use candidate::Standing;
pub use config::Config;
pub use forecast::Forecast;
pub use router::Router;
