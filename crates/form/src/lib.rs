//! Forms replicas of models out of hosts that keep staged models.
//!
//! The [`Controller`] of a deployment hears what hosts announce and gives [`Order`]s:
//! to stage a model, to join a replica, to open it, to leave it. It believes only what
//! hosts report. A replica is opened once every host has reported itself ready in it,
//! and a host is ordered elsewhere only once its old replica has ended.
//!
//! It differs from `plan`, whose engines load with the join and whose routes end by a
//! clock: here a join of hosts with a staged model takes a fraction of a second, so the
//! model that each spare host stages decides how long a lost replica is missing.
//!
//! Pure: time and inputs in, orders and [`fleet::RoutingTable`] out.

mod adopt;
mod advance;
mod config;
mod controller;
mod host;
mod host_counts;
mod layout;
mod load_window;
mod order;
mod place;
mod replica;
mod stage;

pub use config::Config;
pub use controller::Controller;
pub use controller::Shape;
pub use layout::Layout;
pub use load_window::LoadWindow;
pub use order::Action;
pub use order::Order;
pub use order::OrderId;
pub use order::Outcome;
