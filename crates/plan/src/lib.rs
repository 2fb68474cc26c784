//! Forms, repairs and releases the replicas of one data centre.
//!
//! A [`Controller`] receives the hosts' reports. While it holds the [`Tenure`] of
//! its data centre, it orders hosts to form replicas and grants entry nodes routes
//! to the replicas that all their hosts have confirmed. An entry node keeps its
//! granted routes in a [`RouteTable`], where each route expires by the node's own
//! clock. [`plan()`] decides which hosts form which replica. All three do no I/O:
//! the caller passes in the time and the inputs and carries out the outputs.

mod adopt;
mod advance;
mod config;
mod controller;
mod demand;
mod free_hosts;
mod grant;
mod host;
mod host_reports;
mod issued_grants;
mod move_search;
mod order;
mod ordering;
mod planner;
mod replica;
mod status;
mod stranded;
mod table;
mod tenure;
mod view;

pub use config::Config;
pub use controller::Controller;
pub use demand::Demand;
pub use grant::GrantId;
pub use grant::Route;
pub use grant::RouteGrant;
pub use grant::RoutePoll;
pub use grant::ShortRoute;
pub use order::Action;
pub use order::Order;
pub use order::OrderId;
pub use order::OrderOutcome;
pub use planner::plan;
pub use replica::Phase;
pub use replica::PhaseReason;
pub use status::ReplicaStatus;
pub use status::Status;
pub use stranded::StrandedHost;
pub use stranded::StrandedReason;
pub use table::GrantOutcome;
pub use table::RouteTable;
pub use tenure::Tenure;
pub use view::Drain;
pub use view::DrainReason;
pub use view::Form;
pub use view::Move;
pub use view::PlacedReplica;
pub use view::PlacedState;
pub use view::Plan;
pub use view::PlannerView;
