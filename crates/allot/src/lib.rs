//! Divides the request rates that upstreams name among the entry hosts.
//!
//! A process in need names the requests a second that it takes from all senders together. An
//! entry host that sees such an answer sends nothing more to the process until it holds a share
//! of the limit. The leading control host gives shares to a few entry hosts that want them: with
//! fewer requests a second than entry hosts, equal shares of all would be idle for most of the
//! time, and their first requests together would break the limit. This decides under a shortage
//! of some processes while callers spread unevenly over the entry hosts.
//!
//! - [`LimitGuard`], at each entry host, says which processes may get a request now.
//! - [`Allotment`], at the leading control host, gives the shares.
//! - [`LimitReport`] goes from entry hosts to the leader, and [`ShareList`] back to all of them.
//!
//! The crate does no I/O and reads no clock. Between processes, times are sent as ages.

mod allotment;
mod limit_guard;
mod report;
mod share_list;
mod token_bucket;

pub use allotment::Allotment;
pub use limit_guard::LimitGuard;
pub use report::LimitChange;
pub use report::LimitReport;
pub use share_list::LimitedProcess;
pub use share_list::ShareHolder;
pub use share_list::ShareList;
