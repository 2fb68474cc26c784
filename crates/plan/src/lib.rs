//! Forms, repairs and releases the replicas of one data centre.
//!
//! A [`Controller`] hears the hosts' reports and, while it holds the tenure of
//! its data centre, orders hosts into replicas and grants entry nodes the right
//! to route to those that every host has confirmed. An entry node keeps what it
//! was granted in a [`RouteTable`], where each route ends on the node's own
//! clock. [`plan()`] decides which hosts form which replica. All three are pure:
//! time and inputs in, outputs out.

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
pub use replica::Reason;
pub use status::ReplicaStatus;
pub use status::Status;
pub use stranded::Stranded;
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
