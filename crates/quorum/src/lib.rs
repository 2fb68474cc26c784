//! Runs one voter of a group: the effects it asks for are carried out, its records
//! are written to its disk, and proposals wait for their entries.
//!
//! The process around it gives the network and hears what is committed, by [`Edge`].

mod disk_writer;
mod edge;
mod voters;

pub mod clock;

pub use edge::Edge;
pub use edge::Note;
pub use voters::Voters;
pub use voters::Writes;
pub use voters::drive_on;
pub use voters::hand_over;
pub use voters::hear;
pub use voters::open;
pub use voters::step;
