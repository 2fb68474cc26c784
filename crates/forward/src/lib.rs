//! Chooses the target of each request and decides whether a failed request is retried.
//!
//! Request bodies stay opaque. The crate does no I/O and reads no clock: callers pass in
//! the time and all inputs, and act on the decisions.
//!
//! - [`TargetTable`] holds the targets (first hosts of model replicas and processes of
//!   plain services), their load from all entry hosts, and their recent health.
//! - [`AnswerHead`] says what an answer may be taken for, and [`SentIds`] whether it may be an
//!   earlier one.
//! - [`AnswerTimes`] tells whether a request still fits before an end.
//! - [`UnsentAttempts`] says whether a request goes on that no target could be given.
//! - [`RetryDecision`] says what follows a failed attempt, and [`RetryBudget`] limits the
//!   retries of this entry host to its part of the deployment's limit.
//! - [`RequestedRest`] reads how long an upstream wants to rest, and [`RestTable`] says when requests
//!   may go there again.
//! - [`LoadAggregator`] sums the load of all entry hosts on a control host.
//! - [`ControlSelector`] chooses the control host that an entry host follows.
//! - [`EventSplitter`] finds complete events in a stream, so that another target can
//!   continue the stream after the last one.
//! - [`RefusalCause`] gives the time after which a refused caller should retry.
//! - [`PathTable`] says which way to connect to a target, and [`PeerTable`] through which other
//!   entry host.
//! - [`KeyFreshness`] says whether callers' keys may still be trusted.

mod answer_head;
mod answer_times;
mod control_selector;
mod event_splitter;
mod event_text;
mod framing;
mod health;
mod key_freshness;
mod load_aggregator;
mod load_report;
mod path;
mod peer_table;
mod received_report;
mod recent_sends;
mod refusal_cause;
mod requested_rest;
mod rest_table;
mod retry_budget;
mod retry_decision;
mod sent_ids;
mod target;
mod target_table;
mod unsent_attempts;

pub use answer_head::AnswerDoubt;
pub use answer_head::AnswerHead;
pub use answer_head::AnswerMeaning;
pub use answer_head::AnsweredRequest;
pub use answer_head::IdUse;
pub use answer_head::RefusalProtocol;
pub use answer_times::AnswerTimes;
pub use control_selector::ControlSelector;
pub use event_splitter::CompleteEvents;
pub use event_splitter::EventError;
pub use event_splitter::EventSplitter;
pub use event_splitter::ResumePoint;
pub use framing::Framing;
pub use health::Health;
pub use key_freshness::KeyFreshness;
pub use load_aggregator::LoadAggregator;
pub use load_report::IncludedEntry;
pub use load_report::LoadReport;
pub use load_report::ModelWork;
pub use load_report::TargetLoad;
pub use path::ConnectPath;
pub use path::ConnectPlan;
pub use path::PathTable;
pub use peer_table::PeerTable;
pub use recent_sends::RecentSends;
pub use refusal_cause::RefusalCause;
pub use requested_rest::RequestedRest;
pub use requested_rest::RestError;
pub use rest_table::RestTable;
pub use retry_budget::RetryBudget;
pub use retry_decision::Failure;
pub use retry_decision::RetryDecision;
pub use sent_ids::SentIds;
pub use target::Target;
pub use target::TargetId;
pub use target_table::ChooseError;
pub use target_table::Load;
pub use target_table::RestingTargets;
pub use target_table::TargetQuery;
pub use target_table::TargetTable;
pub use unsent_attempts::UnsentAttempts;
