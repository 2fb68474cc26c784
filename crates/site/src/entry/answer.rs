//! Responses that the entry host gives itself, without an upstream.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::entry::EntryHost;
use forward::RefusalCause;
use net::Body;

/// Why a request got no response from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// This entry host has no configuration yet.
    Starting,
    /// This process is stopping and takes no more requests.
    Stopping,
    /// No route matches the request.
    NoRoute,
    /// The caller sent no valid key.
    NoKey,
    /// This entry host cannot tell whether the key is still valid.
    KeysUncertain,
    /// The request's body did not arrive completely and in time.
    BodyIncomplete,
    /// The request's body is too large.
    TooLarge,
    /// Other requests take up the memory of this process.
    NoMemory,
    /// No target is known for the request.
    NoTarget,
    /// All targets for the request are full.
    Full,
    /// All targets for the request asked for rest, and the first is back after this time.
    Resting(Duration),
    /// Upstreams ended under this request, or under others with parts of its prompt.
    Banned,
    /// Every target that got the request refused it.
    NotRun,
    /// The request may have run, but its answer was lost.
    Lost,
    /// The request's time is over, and it has not run.
    OutOfTime,
    /// The request's time is over, and it may have run.
    Timeout,
}

impl Refusal {
    /// The text in the response body, in the log and in the metrics.
    pub fn text(self) -> &'static str {
        match self {
            Self::Starting => "no configuration is known here yet",
            Self::Stopping => "this process stops",
            Self::NoRoute => "no route fits this host and path",
            Self::NoKey => "the key is not known",
            Self::KeysUncertain => "it is not known whether the key still counts",
            Self::BodyIncomplete => "the request did not arrive whole",
            Self::TooLarge => "the body is too large",
            Self::NoMemory => "other requests take up the memory",
            Self::NoTarget => "no upstream is there for it",
            Self::Full => "all upstreams are full",
            Self::Resting(_) => "all its upstreams asked for rest",
            Self::Banned => "upstreams ended under it or requests like it",
            Self::NotRun => "no upstream took it",
            Self::Lost => "its answer was lost, it may have run",
            Self::OutOfTime => "its time was over before it ran",
            Self::Timeout => "no answer came in time, it may have run",
        }
    }

    /// The response's status. 503 promises that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::Starting
            | Self::Stopping
            | Self::KeysUncertain
            | Self::NoMemory
            | Self::NoTarget
            | Self::Full
            | Self::Resting(_)
            | Self::Banned
            | Self::NotRun
            | Self::OutOfTime => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The cause from which the retry delay follows, if a retry can help.
    fn refusal_cause(self, entry: &EntryHost) -> Option<RefusalCause> {
        match self {
            Self::Starting => Some(RefusalCause::Starting(entry.uptime())),
            Self::Stopping | Self::KeysUncertain | Self::NoMemory => Some(RefusalCause::ThisHost),
            // Without a routing table this entry host knows no replicas.
            Self::NoTarget if !entry.has_routing_table() => {
                Some(RefusalCause::Starting(entry.uptime()))
            }
            Self::NoTarget => Some(RefusalCause::NoTarget),
            Self::Full => Some(RefusalCause::Full),
            Self::Resting(left) => Some(RefusalCause::Resting(left)),
            Self::NotRun => Some(RefusalCause::NotRun),
            _ => None,
        }
    }

    /// The response to a caller that has `left` of its time, if known.
    pub fn response(self, entry: &EntryHost, left: Option<Duration>) -> Response<Body> {
        let text = serde_json::json!({ "error": self.text() }).to_string();
        let mut response = Response::new(Body::whole(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        let refusal_cause = self.refusal_cause(entry);
        let left = left.unwrap_or(Duration::MAX);
        let after = refusal_cause.map(|cause| cause.retry_after(left, &mut fastrand::Rng::new()));
        let after = after.map(|span| format!("{:.3}", span.as_secs_f64()));
        if let Some(Ok(after)) = after.map(|after| HeaderValue::from_str(&after)) {
            headers.insert(header::RETRY_AFTER, after);
        }
        response
    }
}

/// A response with a status and no body.
pub(crate) fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}
