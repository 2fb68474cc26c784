//! Forms replicas of models from hosts that keep models staged, which means that they loaded
//! the weights ahead of a join.
//!
//! The [`Controller`] of a deployment records the announcements of hosts and issues
//! [`Order`]s: to stage a model, to join a replica, to open it, to leave it. It relies only
//! on what hosts report. A replica is opened once every host has reported that it is ready
//! in it, and a host is ordered elsewhere only once its old replica has ended.
//!
//! In the crate `plan`, engines load a model as they join a replica, and routes expire at a set
//! time. Here, hosts that have staged the model join much faster than they could load it, so
//! the models that the spare hosts stage decide how long it takes to replace a lost replica.
//!
//! The crate does no I/O: time and inputs go in, orders and the [`fleet::RoutingTable`] come
//! out.

mod adopt;
mod advance;
mod config;
mod confirm;
mod controller;
mod exchange;
mod forget;
mod host;
mod host_counts;
mod joiners;
mod layout;
mod load_window;
mod lost_head;
mod order;
mod place;
mod probing;
mod record;
mod replica;
mod shape;
mod stage;
mod supply;

pub use config::Config;
pub use controller::Controller;
pub use layout::Layout;
pub use load_window::LoadWindow;
pub use lost_head::GivenUpReplica;
pub use order::Action;
pub use order::Order;
pub use order::OrderAnswer;
pub use order::OrderId;
pub use order::Outcome;
pub use shape::ModelShape;
pub use shape::Shape;
