//! Finds requests that end the upstreams which answer them, and bans them.
//!
//! A request is known by the shared parts of its prompt and by a digest of all of it, which only
//! its repetitions share. A process runs many requests at once, so its end tells little about
//! any of them. What tells is that it happens again: a part is suspected if one process after the
//! other ends with a request that has it, and no request that has it is answered. The load under
//! which this decides is a normal one plus a few requests that each end a process; ordinary
//! losses of hosts must not suffice, nor connections that break while their process goes on.
//!
//! - [`PartGuard`], at each entry host, collects evidence and checks requests.
//! - [`Quarantine`], at the leading control host, decides from the evidence of all entry hosts.
//! - [`Evidence`] goes from entry hosts to the leader, and [`NoticeList`] back to all of them.
//!
//! The crate does no I/O and reads no clock. Between processes, times are sent as ages.

mod ban;
mod evidence;
mod ledger;
mod notice;
mod part_guard;
mod quarantine;
mod sound_parts;

pub use ban::LiftReason;
pub use evidence::CrashReport;
pub use evidence::Evidence;
pub use evidence::SoundPart;
pub use ledger::CrashLedger;
pub use ledger::Suspicion;
pub use notice::Notice;
pub use notice::NoticeList;
pub use notice::NoticeState;
pub use notice::PartSet;
pub use part_guard::Admission;
pub use part_guard::PartGuard;
pub use quarantine::Quarantine;
pub use quarantine::QuarantineEvent;
