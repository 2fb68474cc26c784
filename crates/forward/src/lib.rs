//! Decides where an opaque request goes, and whether it goes again.
//!
//! [`TargetTable`] knows the targets: first hosts of replicas and processes of plain
//! services, with the load that this entry host and the others put on them, and how
//! they did lately. [`RetryBudget`] holds this entry host's part of the retries that the
//! whole deployment may make, and [`LoadAggregator`] what all entry hosts have under way. [`RetryDecision`] says what may follow an attempt that failed.
//! [`ControlSelector`] says which control host is followed. [`EventSplitter`] finds the whole events in a stream, so that it can go on elsewhere.
//!
//! [`RefusalCause`] says when a caller that was refused should come back.
//!
//! [`KeyFreshness`] says how long callers' keys may be believed without news.
//!
//! Pure: time and inputs in, decisions out.

mod control_selector;
mod event_splitter;
mod health;
mod key_freshness;
mod load_aggregator;
mod load_report;
mod refusal_cause;
mod retry_budget;
mod retry_decision;
mod target;
mod target_table;

pub use control_selector::ControlSelector;
pub use event_splitter::CompleteEvents;
pub use event_splitter::EventError;
pub use event_splitter::EventSplitter;
pub use health::Health;
pub use key_freshness::KeyFreshness;
pub use load_aggregator::LoadAggregator;
pub use load_report::LoadReport;
pub use load_report::ModelWork;
pub use load_report::TargetLoad;
pub use refusal_cause::RefusalCause;
pub use retry_budget::RetryBudget;
pub use retry_decision::Failure;
pub use retry_decision::RetryDecision;
pub use target::Target;
pub use target::TargetId;
pub use target_table::ChooseError;
pub use target_table::Load;
pub use target_table::TargetQuery;
pub use target_table::TargetTable;
