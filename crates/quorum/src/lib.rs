//! Runs one voter of a group: the effects it asks for are carried out, its records
//! are written to its disk, and proposals wait for their entries.
//!
//! The process around it gives the network and hears what is committed, by [`Edge`].

mod disk_writer;
mod environment;
mod local_voter;

pub mod clock;

pub use environment::Environment;
pub use environment::VoterEvent;
pub use local_voter::LocalVoter;
pub use local_voter::WriteQueue;
pub use local_voter::hand_over_leadership;
pub use local_voter::open;
pub use local_voter::receive;
pub use local_voter::run_effects;
pub use local_voter::run_voter;
