//! The way of an order at its entry node: claim, send once, record.
//!
//! An [`Attempt`] is one call of a plain service. It takes events and gives
//! steps; the node does the I/O. A call under a key is claimed in the ledger
//! before anything is sent, sent once at most, and its outcome is recorded.
//! [`Book`] holds the attempts of one node's life.

mod answer;
mod attempt;
mod book;
mod call;
mod event;
mod heard;
mod ledger_way;
mod send_way;
mod stage;
mod step;

pub use answer::Answer;
pub use answer::Content;
pub use answer::Refusal;
pub use answer::Sent;
pub use attempt::Admission;
pub use attempt::Attempt;
pub use book::Book;
pub use book::NotTaken;
pub use call::Ask;
pub use call::Call;
pub use call::Key;
pub use call::Kind;
pub use call::Others;
pub use call::SEND_WINDOW;
pub use event::AskReply;
pub use event::Event;
pub use event::Proposal;
pub use step::Step;
