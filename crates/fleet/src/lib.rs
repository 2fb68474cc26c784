//! The state of a deployment: the configuration in force, and the upstreams that announce
//! themselves.
//!
//! A [`Configuration`] says where requests may go. A [`Roster`] holds the latest announcement
//! of each upstream process. A [`RoutingTable`] lists the replicas of models that requests may
//! be sent to. This crate holds the state only; other crates decide based on it.

mod address_claims;
mod announcement;
mod compressed_text;
mod configuration;
mod engine;
mod entry_directory;
mod heartbeat;
mod host_status;
mod leader_reports;
mod probes;
mod published;
mod replica_record;
mod rest_directory;
mod revision_holders;
mod roster;
mod roster_change;
mod roster_entry;
mod route;
mod routing_table;

pub use announcement::Announcement;
pub use announcement::EngineReport;
pub use announcement::Place;
pub use announcement::PlaceState;
pub use compressed_text::CompressedText;
pub use compressed_text::DecompressError;
pub use compressed_text::MAX_TEXT_BYTES;
pub use configuration::CallerLimits;
pub use configuration::Configuration;
pub use configuration::Service;
pub use engine::EngineConfig;
pub use engine::EngineModel;
pub use entry_directory::EntryDirectory;
pub use entry_directory::EntryList;
pub use entry_directory::EntryReport;
pub use heartbeat::Heartbeat;
pub use heartbeat::HeartbeatOutcome;
pub use host_status::HostStatus;
pub use host_status::ReportedPlace;
pub use leader_reports::DeparturesHeld;
pub use leader_reports::LeaderReports;
pub use leader_reports::ReportBatch;
pub use leader_reports::heard_times;
pub use probes::ProbeOutcome;
pub use probes::Probes;
pub use published::Published;
pub use replica_record::RecordChanges;
pub use replica_record::RecordedHost;
pub use replica_record::RecordedPhase;
pub use replica_record::ReplicaRecord;
pub use rest_directory::AskedRest;
pub use rest_directory::RestDirectory;
pub use rest_directory::RestList;
pub use revision_holders::RevisionHolders;
pub use revision_holders::required_followers;
pub use roster::Roster;
pub use roster_change::IgnoreReason;
pub use roster_change::RosterChange;
pub use roster_change::UpdateOutcome;
pub use roster_entry::Revision;
pub use roster_entry::RosterEntry;
pub use route::Punctuality;
pub use route::RequestKind;
pub use route::Route;
pub use route::ServiceShare;
pub use routing_table::Edition;
pub use routing_table::Intake;
pub use routing_table::RoutingTable;
pub use routing_table::ServingReplica;
