//! Forms replicas of models from hosts that keep models staged.
//!
//! The [`Controller`] of a deployment records the announcements of hosts and issues
//! [`Order`]s: to stage a model, to join a replica, to open it, to leave it. It relies only
//! on what hosts report. A replica is opened once every host has reported that it is ready
//! in it, and a host is ordered elsewhere only once its old replica has ended.
//!
//! Unlike in `plan`, where engines load with the join and routes end at a set time, a join of
//! hosts with a staged model takes a fraction of a second here. So the models that the spare
//! hosts stage decide how long it takes to replace a lost replica.
//!
//! The crate does no I/O: time and inputs go in, orders and the [`fleet::RoutingTable`] come
//! out.

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
