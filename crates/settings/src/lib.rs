//! Loads a node's settings and checks them as a whole.
//!
//! [`Settings::load`] reads a TOML file and the secret files that it names. It
//! returns either valid settings or all findings in the file, each with its
//! location.

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
