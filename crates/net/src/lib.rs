//! HTTP and JSON-RPC over the one loop.
//!
//! [`Server`] accepts connections within bounds and hands requests to one
//! handler. [`Connection`] sends one request over a connection of its own, so
//! that its caller knows whether a first byte can have left. [`RpcClient`]
//! keeps connections open for calls between the system's own processes, and
//! [`Methods`] answers them.

mod body;
mod connection;
mod dialogue;
mod lines;
mod meter;
mod methods;
mod patience;
mod rpc;
mod server;

pub use body::Body;
pub use body::BodyError;
pub use body::BodySender;
pub use body::BrokenOff;
pub use body::Frames;
pub use body::ReaderGone;
pub use body::read_body;
pub use connection::Connection;
pub use connection::RequestError;
pub use connection::SendError;
pub use dialogue::Dialogue;
pub use lines::Lines;
pub use meter::Meter;
pub use methods::Methods;
pub use rpc::RpcClient;
pub use rpc::RpcError;
pub use server::Bounds;
pub use server::Server;
