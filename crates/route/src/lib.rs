//! Chooses a replica for each request.
//!
//! Each entry node has one [`Router`]. It predicts a request's time to the first token
//! and token rate at each replica. Load reports lag, so it adds the requests that this
//! node has sent since and that the other nodes have probably sent. It takes a nearby
//! replica unless a far one is faster despite the longer link, treats cached prefixes as
//! a hint, and ejects replicas that became slow.

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
mod search;

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
