//! The processes of a deployment: control hosts and entry hosts.
//!
//! A **control host** has a disk and a voter. It serves upstreams and operators; the one whose
//! voter leads also sends orders to the hosts of the engines. An **entry host** has no disk. It
//! serves callers' requests, and gets everything it needs to know from a control host that it
//! follows.
//!
//! The names of a platform's fields, headers and paths are behind [`Platform`].

mod bounds;
mod connection_pool;
mod control;
mod entry;
mod events;
mod message;
mod notify;
mod order_request;
mod peers;
mod platform;
mod run;
mod semaphore;
mod settings;

pub use bounds::BoundError;
pub use bounds::RetryLimits;
pub use bounds::RetrySettings;
pub use bounds::duration_from_secs;
pub use bounds::machine_from_settings;
pub use control::ControlSettings;
pub use entry::EntrySettings;
pub use events::catalogue;
pub use platform::ControlCall;
pub use platform::Headers;
pub use platform::MessageError;
pub use platform::Platform;
pub use run::RunError;
pub use run::run;
pub use settings::DEFAULT_MACHINE;
pub use settings::DEFAULT_REVOKE_WITHIN;
pub use settings::DEFAULT_STALL_TIMEOUT;
pub use settings::DEFAULT_STOP_TIMEOUT;
pub use settings::Settings;
pub use settings::node_at;
