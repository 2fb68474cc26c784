//! A randomized soak: the real programs as processes, faults from outside them.
//!
//! A [`Plan`] is drawn from a seed. A [`run`] starts nodes, hosts and services, puts a
//! [`Links`] proxy between the nodes, plays the plan while callers go on, and then checks
//! the [`Record`] of what callers and services saw. Each broken promise is a [`Finding`].

mod check;
mod finding;
mod links;
mod load;
mod plan;
mod record;
mod run;
mod watch;

pub use check::check;
pub use finding::Finding;
pub use links::Links;
pub use links::Way;
pub use plan::Plan;
pub use plan::Size;
pub use plan::Step;
pub use plan::Trouble;
pub use record::Chat;
pub use record::Order;
pub use record::Record;
pub use record::Said;
pub use record::Seen;
pub use run::Report;
pub use run::run;
