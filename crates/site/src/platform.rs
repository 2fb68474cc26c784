//! The interface to the adapter of a platform.

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::HeaderName;
use http::Method;
use http::Request;
use http_body_util::Full;

use base::Findings;
use base::PromptPartId;
use base::UpstreamId;
use fleet::Announcement;
use fleet::Configuration;
use fleet::HostStatus;
use form::Action;

/// The header names of a platform.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The id of an attempt, chosen by the caller.
    pub attempt_id: HeaderName,
    /// How long the caller still waits, in milliseconds.
    pub deadline: HeaderName,
    /// The number of the last event that the caller received.
    pub last_event: HeaderName,
    /// An upstream's signature of its answer.
    pub signature: HeaderName,
    /// The process that the request is for.
    pub target: HeaderName,
    /// The organisation that the request is made for.
    pub organisation: HeaderName,
    /// Its presence in an answer says that the request did not run.
    pub not_run: HeaderName,
    /// The model that the request asks for.
    pub model: HeaderName,
    /// The number of tokens in the prompt and, after a comma, the most tokens in the answer.
    pub token_counts: HeaderName,
    /// The parts of the prompt.
    pub prompt_parts: HeaderName,
    /// The requests a second that an upstream takes from all entry hosts together.
    pub limit: HeaderName,
    /// How long an upstream that turned a request away wants none, in seconds or as a date.
    pub rest: HeaderName,
}

/// A call to the API of a control host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// An upstream process announces itself.
    Announce(UpstreamId),
    /// An upstream process leaves.
    Leave(UpstreamId),
    /// An operator sends a configuration.
    PutConfiguration,
    /// An operator reads the configuration.
    ReadConfiguration,
    /// No known call.
    Unknown,
}

/// A message that could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct MessageError {
    /// What is wrong with the message.
    pub reason: String,
}

/// Translates between a platform's messages and the types of this project.
pub trait Platform: 'static {
    /// The header names of the platform.
    fn headers(&self) -> &Headers;
    /// Tells which call a method and path of the control API stand for.
    fn control_call(&self, method: &Method, path: &str) -> ControlCall;
    /// Whether this is the path of the readiness check of an entry host.
    fn is_readiness_path(&self, path: &str) -> bool;
    /// Parses the announcement of an upstream process.
    fn parse_announcement(&self, id: UpstreamId, body: &[u8])
    -> Result<Announcement, MessageError>;
    /// Parses and checks a configuration.
    fn parse_configuration(&self, text: &str) -> Result<Configuration, Findings>;
    /// Parses the ids of the prompt's parts that other requests may share, in their order.
    fn parse_shared_parts(&self, prompt_parts: &str) -> Vec<PromptPartId>;
    /// Builds the request that sends an order to a host. The host refuses the order if the number
    /// of orders it has begun isn't `begun_orders`.
    fn order_request(&self, action: &Action, begun_orders: Option<u64>) -> Request<Full<Bytes>>;
    /// Builds a request that any running host answers at once with its report.
    fn probe_request(&self) -> Request<Full<Bytes>>;
    /// Parses a host's report.
    fn parse_report(&self, report: &[u8]) -> Result<HostStatus, MessageError>;
}
