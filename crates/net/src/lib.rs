//! HTTP and JSON-RPC over the one loop.
//!
//! [`Server`] accepts connections within bounds and hands requests to one
//! handler. [`Connection`] sends one request over a connection of its own, so
//! that its caller knows whether a first byte can have left. [`RpcClient`]
//! keeps connections open for calls between the system's own processes, and
//! [`RpcMethods`] answers them.

mod body;
mod connection;
mod line_reader;
mod line_stream;
mod patience;
mod rpc;
mod rpc_methods;
mod server;
mod traffic_meter;

pub use body::Body;
pub use body::BodyAborted;
pub use body::BodyError;
pub use body::BodySender;
pub use body::FrameStream;
pub use body::ReaderGone;
pub use body::read_body;
pub use connection::Connection;
pub use connection::RequestError;
pub use connection::SendError;
pub use line_reader::LineReader;
pub use line_stream::LineStream;
pub use rpc::RpcClient;
pub use rpc::RpcError;
pub use rpc_methods::RpcMethods;
pub use server::Server;
pub use server::ServerLimits;
pub use traffic_meter::TrafficMeter;
