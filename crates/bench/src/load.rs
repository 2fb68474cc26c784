//! A simulation of engines, callers and entry nodes in virtual time.
//!
//! Engines use continuous batching with chunked prefill, and their load reports arrive late.
//! The same seeded requests run under each [`Policy`].

mod alone;
mod engine;
mod mix;
mod node;
mod outcome;
mod policy;
mod traffic;
mod world;

pub use alone::time_alone;
pub use mix::Mix;
pub use mix::contracts;
pub use mix::load_capacity;
pub use mix::model;
pub use mix::orgs;
pub use mix::terms_of;
pub use outcome::Outcome;
pub use outcome::Summary;
pub use outcome::percentile;
pub use policy::Policy;
pub use traffic::Profile;
pub use traffic::Request;
pub use traffic::requests;
pub use world::REPLICAS;
pub use world::Run;
pub use world::run;
