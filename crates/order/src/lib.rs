//! Handles the calls of services at their entry node, the node that accepted them.
//!
//! An [`Attempt`] is one call of a service, as a state machine without I/O: it handles
//! [`Event`]s and returns [`Action`]s for the node to carry out. An order is a call
//! under an idempotency key: the key is claimed in the ledger before anything is sent,
//! the call is sent at most once, and its outcome is recorded. [`AttemptTable`] holds
//! the attempts of one incarnation of a node.

mod action;
mod answer;
mod attempt;
mod attempt_table;
mod call;
mod event;
mod known_index;
mod ledger_way;
mod send_way;
mod stage;

pub use action::Action;
pub use answer::Answer;
pub use answer::AnswerContent;
pub use answer::Refusal;
pub use answer::Sent;
pub use attempt::Attempt;
pub use attempt::AttemptContext;
pub use attempt_table::AttemptTable;
pub use attempt_table::OpenError;
pub use call::Call;
pub use call::CallKind;
pub use call::KeyTerms;
pub use call::OtherCalls;
pub use call::OutcomeQuery;
pub use call::SEND_WINDOW;
pub use event::Event;
pub use event::ProposalKind;
pub use event::QueryReply;
