//! What the adapter of a platform translates.

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::HeaderName;
use http::Method;
use http::Request;
use http_body_util::Full;

use base::Findings;
use base::UpstreamId;
use fleet::Announcement;
use fleet::Configuration;
use form::Action;

/// The names of a platform's headers.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The id of one attempt of a caller.
    pub attempt_id: HeaderName,
    /// Milliseconds that a caller still waits.
    pub deadline: HeaderName,
    /// The last event that a caller has.
    pub last_event: HeaderName,
    /// An upstream's signature of its answer.
    pub signature: HeaderName,
    /// The process that a request is meant for.
    pub target: HeaderName,
    /// The organisation that a request is made for.
    pub organisation: HeaderName,
    /// An answer that has it says that the request did not run.
    pub not_run: HeaderName,
    /// The model that a request asks for.
    pub model: HeaderName,
    /// Tokens of a request's prompt, and behind a comma the most of its answer.
    pub token_counts: HeaderName,
}

/// What is asked of a control host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// A process of an upstream announces itself.
    Announce(UpstreamId),
    /// A process of an upstream is gone.
    Leave(UpstreamId),
    /// An operator gives a configuration.
    PutConfiguration,
    /// An operator reads the configuration.
    ReadConfiguration,
    /// Nothing that is known.
    Unknown,
}

/// A message that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct MessageError {
    /// What is wrong.
    pub reason: String,
}

/// Translates between a platform's words and the product's types.
pub trait Platform: 'static {
    /// The names of the headers.
    fn headers(&self) -> &Headers;
    /// What a call to a control host asks for.
    fn control_call(&self, method: &Method, path: &str) -> ControlCall;
    /// Whether a path asks if an entry host is ready.
    fn is_readiness_path(&self, path: &str) -> bool;
    /// Reads what a process of an upstream says of itself.
    fn parse_announcement(&self, id: UpstreamId, body: &[u8])
    -> Result<Announcement, MessageError>;
    /// Reads and checks a configuration.
    fn parse_configuration(&self, text: &str) -> Result<Configuration, Findings>;
    /// The request that gives an order to a host. It is refused by one that has begun
    /// another number of orders than `begun`.
    fn order_request(&self, action: &Action, begun: Option<u64>) -> Request<Full<Bytes>>;
    /// A request that any living host answers at once, with its report.
    fn probe_request(&self) -> Request<Full<Bytes>>;
    /// How many orders a host has begun, by its report.
    fn parse_begun_orders(&self, report: &[u8]) -> Result<u64, MessageError>;
}
