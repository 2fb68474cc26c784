//! A node's settings, checked as a whole.
//!
//! [`Settings::load`] reads a TOML file and the secret files that it names. It
//! gives either settings that can be used as they are, or every finding with
//! its place.

mod limits;
mod load;
mod reader;
mod secret;

pub use limits::Limits;
pub use load::NodeSettings;
pub use load::Peer;
pub use load::Role;
pub use load::Settings;
pub use secret::Secret;
pub use secret::Secrets;
