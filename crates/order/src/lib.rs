//! The way of an order at its entry node: claim, send once, record.
//!
//! An [`Attempt`] is one call of a plain service. It takes events and gives
//! steps; the node does the I/O. A call under a key is claimed in the ledger
//! before anything is sent, sent once at most, and its outcome is recorded.
//! [`AttemptTable`] holds the attempts of one node's life.

mod action;
mod answer;
mod attempt;
mod attempt_table;
mod call;
mod event;
mod heard;
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
