//! Runs one voter of a group: carries out its effects, writes its records to its
//! disk, and answers proposals once their entries are applied.
//!
//! The process provides the network and learns of applied entries through the
//! [`Environment`] trait.

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
pub use local_voter::open_with;
pub use local_voter::receive;
pub use local_voter::run_effects;
pub use local_voter::run_voter;
