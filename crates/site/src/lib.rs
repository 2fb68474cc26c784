//! The programs of a deployment: control hosts and entry hosts.
//!
//! A **control host** has a disk and a voter. It hears upstreams and operators; the one
//! whose voter leads also orders the engines' hosts. An **entry host** has no disk. It
//! takes callers' requests, and follows a control host for everything it has to know.
//!
//! What a platform calls its fields, headers and paths is behind [`Platform`].

mod bell;
mod bounds;
mod control;
mod entry;
mod events;
mod message;
mod peers;
mod platform;
mod pool;
mod run;
mod settings;
mod window;

pub use bounds::BoundError;
pub use bounds::RetrySettings;
pub use bounds::RetryTerms;
pub use bounds::seconds;
pub use control::ControlSettings;
pub use entry::EntrySettings;
pub use events::catalogue;
pub use platform::ControlCall;
pub use platform::Headers;
pub use platform::Platform;
pub use platform::Unreadable;
pub use run::RunError;
pub use run::run;
pub use settings::REVOKE_WITHIN;
pub use settings::STILL_LIMIT;
pub use settings::STOP_WITHIN;
pub use settings::Settings;
pub use settings::node_of;
