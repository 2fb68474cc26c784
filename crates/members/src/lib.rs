//! Membership of the entry nodes, and gossip between them at a bounded rate.
//!
//! [`Members`] holds one node's view of all nodes and handles its gossip. Nodes
//! of one data centre probe each other in turn. Between data centres a few
//! contacts, which all nodes choose alike, carry what every node must know. A
//! byte rate limits what a node sends, however much is published.
//!
//! [`Puller`] decides which node to ask for a newer configuration, and when.

mod config;
mod hash;
mod item;
mod item_store;
mod links;
mod members;
mod outbox;
mod packet;
mod prober;
mod puller;
mod receive;
mod record;
mod roster;
mod spread;
mod sync;
mod versions;
mod watch;

pub use config::Config;
pub use config::Timing;
pub use item::Item;
pub use item::ItemKind;
pub use item::ItemUpdate;
pub use item::MAX_ITEM_BODY_BYTES;
pub use item::Scope;
pub use members::MemberView;
pub use members::Members;
pub use members::MemoryUsage;
pub use outbox::Packet;
pub use packet::DATAGRAM_OVERHEAD_BYTES;
pub use packet::MAX_DATAGRAM_BYTES;
pub use puller::PullSource;
pub use puller::PullState;
pub use puller::Puller;
pub use record::Generation;
pub use record::Peer;
pub use record::Standing;
