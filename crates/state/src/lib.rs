//! The replicated state: the configuration, the ledger of orders and the recorded replicas.
//!
//! [`State::apply`] applies the committed entries of the voters' log in order and
//! returns the same replies on every voter. Nothing here reads a clock: each command
//! carries the log's time, which the leader takes from its [`LogClock`].

mod answer;
mod attempt;
mod change;
mod claim;
mod command;
mod config_register;
mod key_record;
mod key_status;
mod ledger;
mod limits;
mod log_clock;
mod log_time;
mod record_index;
mod records;
mod replica_register;
mod session;
mod snapshot;
mod state;

pub use answer::StoredAnswer;
pub use answer::StoredBody;
pub use attempt::AttemptId;
pub use change::ConfigChange;
pub use change::ConfigChangeReply;
pub use change::ConfigOffer;
pub use change::ConfigOfferReply;
pub use claim::Claim;
pub use claim::ClaimReply;
pub use claim::Outcome;
pub use claim::RecordOutcome;
pub use claim::RecordQueriedAnswer;
pub use claim::RecordReply;
pub use claim::Withdraw;
pub use command::Command;
pub use command::Op;
pub use command::Reply;
pub use config_register::ConfigRegister;
pub use key_status::KeyStatus;
pub use ledger::KEY_CLOSED_FOR;
pub use ledger::Ledger;
pub use limits::Limits;
pub use log_clock::LogClock;
pub use log_time::LogTime;
pub use replica_register::ReplicaRegister;
pub use session::MAX_OPEN_ATTEMPTS;
pub use snapshot::CommandError;
pub use snapshot::SnapshotError;
pub use snapshot::StateCopy;
pub use state::State;
