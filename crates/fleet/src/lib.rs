//! What a deployment knows: the configuration in force, and the upstreams that
//! announce themselves.
//!
//! A [`Configuration`] says where requests may go. A [`Roster`] holds what each
//! upstream said last, the newest life and the newest word of it. [`Directions`]
//! name the replicas of models that may be sent to. Nothing here decides; the
//! crates that do take these as their input.

mod announcement;
mod configuration;
mod directions;
mod engine;
mod packed;
mod roster;
mod route;

pub use announcement::Announcement;
pub use announcement::EngineReport;
pub use announcement::Place;
pub use announcement::PlaceState;
pub use configuration::CallerLimits;
pub use configuration::Configuration;
pub use configuration::Service;
pub use directions::Directions;
pub use directions::Edition;
pub use directions::Serving;
pub use engine::Engine;
pub use engine::EngineModel;
pub use packed::Packed;
pub use packed::UNPACKED_BYTES;
pub use packed::Unpackable;
pub use roster::Change;
pub use roster::Entry;
pub use roster::Heard;
pub use roster::Revision;
pub use roster::Roster;
pub use route::Kind;
pub use route::Route;
pub use route::Share;
