//! Decides where an opaque request goes, and whether it goes again.
//!
//! [`Board`] knows the targets: first hosts of replicas and processes of plain
//! services, with the load that this entry host and the others put on them, and how
//! they did lately. [`Budget`] holds this entry host's part of the retries that the
//! whole deployment may make, and [`Crowd`] what all entry hosts have under way. [`Again`] says what may follow an attempt that failed.
//! [`Following`] says which control host is followed. [`Events`] finds the whole events in a stream, so that it can go on elsewhere.
//!
//! [`Shortage`] says when a caller that was refused should come back.
//!
//! [`KeyLife`] says how long callers' keys may be believed without news.
//!
//! Pure: time and inputs in, decisions out.

mod again;
mod board;
mod budget;
mod come_back;
mod crowd;
mod events;
mod following;
mod health;
mod key_life;
mod tally;
mod target;

pub use again::Again;
pub use again::Failure;
pub use board::Board;
pub use board::Load;
pub use board::Miss;
pub use board::Want;
pub use budget::Budget;
pub use come_back::Shortage;
pub use crowd::Crowd;
pub use events::EventError;
pub use events::Events;
pub use events::Whole;
pub use following::Following;
pub use health::Health;
pub use key_life::KeyLife;
pub use tally::ModelWork;
pub use tally::Tally;
pub use tally::TargetLoad;
pub use target::Target;
pub use target::TargetId;
