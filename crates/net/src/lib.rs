//! HTTP and JSON-RPC on a single-threaded event loop.
//!
//! [`Server`] accepts connections within limits and passes requests to one handler.
//! [`Connection`] sends requests over a connection of its own, so that its user knows
//! whether any byte can have been sent. [`ProcessMemory`] counts what requests and answers hold,
//! wherever they are read. [`RpcClient`] calls the system's own processes over
//! connections that it keeps open, and [`RpcMethods`] answers them. [`TunnelServer`] joins
//! connections for a process that cannot reach an upstream itself. [`LateAnswers`] reads what
//! upstreams say in answers that nobody waits for any more.

mod answer_first_stream;
mod body;
mod bounded_stream;
mod collector;
mod connection;
mod exchange;
mod flush;
mod head_limit;
mod inbound;
mod last_call;
mod late_answers;
mod line_reader;
mod line_stream;
mod linger;
mod notice;
mod open_tunnels;
mod overhead;
mod process_memory;
mod received_body;
mod rpc;
mod rpc_methods;
mod server;
mod socket;
mod traffic_meter;
mod tunnel;
mod turn;
mod unless;
mod write_timeout;

pub use body::Body;
pub use body::BodyAborted;
pub use body::BodyError;
pub use body::BodySender;
pub use body::FrameStream;
pub use body::ReaderGone;
pub use body::read_answer;
pub use body::read_body;
pub use body::read_request;
pub use connection::Connection;
pub use connection::RequestError;
pub use connection::SendError;
pub use connection::is_connection_end;
pub use exchange::Exchange;
pub use head_limit::HeadLimit;
pub use inbound::Inbound;
pub use last_call::LastCall;
pub use late_answers::AwaitedAnswer;
pub use late_answers::LateAnswer;
pub use late_answers::LateAnswers;
pub use line_reader::LineReader;
pub use line_stream::LineStream;
pub use notice::send_notice;
pub use open_tunnels::OpenTunnels;
pub use process_memory::Charge;
pub use process_memory::ConnectionAccount;
pub use process_memory::NoMemory;
pub use process_memory::ProcessMemory;
pub use received_body::ReceivedBody;
pub use rpc::RpcClient;
pub use rpc::RpcError;
pub use rpc_methods::RpcMethods;
pub use server::Server;
pub use server::ServerLimits;
pub use traffic_meter::TrafficMeter;
pub use tunnel::TunnelError;
pub use tunnel::TunnelPolicy;
pub use tunnel::TunnelServer;
pub use tunnel::TunnelServerConfig;
pub use unless::unless;
