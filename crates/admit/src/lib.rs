//! Admits, queues or refuses requests by the callers' contracts.
//!
//! Each entry node has one [`Dispatcher`]. It counts requests against limits that hold for
//! all entry nodes together and sends a request to a replica that will answer in time. A
//! request waits while an answer in time is still likely, and is otherwise refused at once
//! with a time after which to retry. The dispatcher owns the [`route::Router`].
//!
//! The code that drives a dispatcher passes the time with every call, acts on each
//! [`Decision`], and reports first tokens, further tokens and ends of the requests that were
//! sent. Every [`Config::exchange_interval`] it publishes [`Dispatcher::demand_report`] and
//! passes the other nodes' reports to [`Dispatcher::apply_peer_reports`]. It calls
//! [`Dispatcher::poll`] at [`Dispatcher::next_poll`] and after each end of a request.

mod arrival;
mod bucket;
mod config;
mod contract_state;
mod decision;
mod demand;
mod dispatcher;
mod exchange;
mod fair_queue;
mod fair_shares;
mod feedback;
mod fill_limit;
mod in_flight;
mod length;
mod model_queue;
mod pump;
mod rate;
mod report_round;
mod retry;

pub use arrival::Arrival;
pub use bucket::Bucket;
pub use bucket::PeerUsage;
pub use config::Config;
pub use config::ExcessPolicy;
pub use config::LoadLimit;
pub use decision::Decision;
pub use decision::Failure;
pub use decision::RefusalReason;
pub use demand::ContractDemand;
pub use demand::DemandReport;
pub use demand::ModelDemand;
pub use demand::OrgDemand;
pub use demand::Unlisted;
pub use dispatcher::Dispatcher;
pub use route::Standing;
