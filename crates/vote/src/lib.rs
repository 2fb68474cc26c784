//! Agreement of several voters on one log of commands, by the Raft algorithm.
//!
//! A [`Voter`] is one member of a group, usually of three or five. One of them
//! leads: it takes commands, copies them to the others and reports them as
//! committed once a majority has them on disk. A voter is a pure state machine:
//! the process passes in the time and all input, and carries out the [`Effects`]:
//!
//! 1. Call [`Voter::receive`], [`Voter::tick`], [`Voter::propose`] and so on.
//! 2. Call [`Voter::take_effects`]. Send the messages and apply the entries.
//! 3. Write the batch to disk, sync it, then call [`Voter::mark_synced`]. Continue
//!    with step 1 in the meantime. Write batches in order.
//!
//! A message that depends on records is held back until they are synced, and a
//! voter counts its own vote and entries only then.

mod blob;
mod change;
mod commit;
mod config;
mod contact;
mod effects;
mod election;
mod entry;
mod follow;
mod form;
mod group;
mod handover;
mod install;
mod leaving;
mod log;
mod membership_policy;
mod message;
mod outbox;
mod progress;
mod propose;
mod read;
mod replicate;
mod role;
mod spare;
mod status;
mod storage;
mod voter;

pub use crate::blob::Blob;
pub use crate::change::Change;
pub use crate::change::ChangeError;
pub use crate::config::Config;
pub use crate::config::Founding;
pub use crate::config::Limits;
pub use crate::config::Timing;
pub use crate::effects::Batch;
pub use crate::effects::BatchId;
pub use crate::effects::DiskWrite;
pub use crate::effects::Effects;
pub use crate::effects::Outgoing;
pub use crate::effects::ReadAnswer;
pub use crate::effects::ReadId;
pub use crate::effects::ReadOutcome;
pub use crate::entry::Entry;
pub use crate::entry::Index;
pub use crate::entry::Payload;
pub use crate::entry::Position;
pub use crate::entry::ProposalId;
pub use crate::entry::Record;
pub use crate::entry::Restored;
pub use crate::entry::Snapshot;
pub use crate::entry::Term;
pub use crate::group::Duty;
pub use crate::group::Group;
pub use crate::group::GroupId;
pub use crate::group::Member;
pub use crate::leaving::Release;
pub use crate::leaving::ReleaseWait;
pub use crate::membership_policy::DEFAULT_CATCH_UP;
pub use crate::membership_policy::MembershipPolicy;
pub use crate::message::Ack;
pub use crate::message::AckOutcome;
pub use crate::message::AckedIndex;
pub use crate::message::AppendEntries;
pub use crate::message::Body;
pub use crate::message::ElectionPhase;
pub use crate::message::ElectionReason;
pub use crate::message::InstallSnapshot;
pub use crate::message::Message;
pub use crate::message::Rejection;
pub use crate::message::RequestVote;
pub use crate::message::SendStamp;
pub use crate::message::SilentMember;
pub use crate::message::VoteAnswer;
pub use crate::message::VoteReply;
pub use crate::propose::ProposeError;
pub use crate::read::Lease;
pub use crate::status::NonMember;
pub use crate::status::Peer;
pub use crate::status::Role;
pub use crate::status::Standing;
pub use crate::status::Status;
pub use crate::status::Trust;
pub use crate::voter::Voter;
