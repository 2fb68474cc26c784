//! The replicated state: configuration and the ledger of orders.
//!
//! [`State::apply`] takes the committed entries of the voters' log, one after
//! another, and gives the same reply on every voter. Nothing here reads a clock:
//! each command carries the log's time, which [`LogClock`] makes.

mod answer;
mod attempt;
mod change;
mod claim;
mod command;
mod digest;
mod entry;
mod index;
mod ledger;
mod limits;
mod log_clock;
mod millis;
mod records;
mod register;
mod session;
mod snapshot;
mod standing;
mod state;

pub use answer::Body;
pub use answer::StoredAnswer;
pub use attempt::AttemptId;
pub use change::Change;
pub use change::ChangeReply;
pub use change::Offer;
pub use change::OfferReply;
pub use claim::Claim;
pub use claim::ClaimReply;
pub use claim::Learn;
pub use claim::Outcome;
pub use claim::Record;
pub use claim::RecordReply;
pub use claim::Withdraw;
pub use command::Command;
pub use command::Op;
pub use command::Reply;
pub use digest::Digest;
pub use ledger::CLOSED_FOR;
pub use ledger::Ledger;
pub use limits::Limits;
pub use log_clock::LogClock;
pub use millis::Millis;
pub use register::Register;
pub use session::WINDOW;
pub use snapshot::CommandError;
pub use snapshot::Image;
pub use snapshot::SnapshotError;
pub use standing::Standing;
pub use state::State;
