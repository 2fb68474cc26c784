//! Answers that this entry host gives by itself.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::entry::EntryHost;
use forward::RefusalCause;
use net::Body;

/// Why a request got no answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No configuration is known yet.
    Starting,
    /// This process stops and takes nothing more.
    Stopping,
    /// No route fits.
    NoRoute,
    /// The caller has no key that counts.
    NoKey,
    /// It isn't known whether the key still counts.
    KeysUncertain,
    /// The body did not come whole and in time.
    BodyIncomplete,
    /// The body is too large.
    TooLarge,
    /// There is nobody to send it to.
    NoTarget,
    /// All that it could be sent to are full.
    Full,
    /// Every upstream that it was sent to refused it.
    NotRun,
    /// It may have run, and its answer is lost.
    Lost,
    /// Its time is over, and it has not run.
    OutOfTime,
    /// Its time is over, and it may have run.
    Timeout,
}

impl Refusal {
    /// What is said in words.
    pub fn text(self) -> &'static str {
        match self {
            Self::Starting => "no configuration is known here yet",
            Self::Stopping => "this process stops",
            Self::NoRoute => "no route fits this host and path",
            Self::NoKey => "the key is not known",
            Self::KeysUncertain => "it is not known whether the key still counts",
            Self::BodyIncomplete => "the request did not arrive whole",
            Self::TooLarge => "the body is too large",
            Self::NoTarget => "no upstream is there for it",
            Self::Full => "all upstreams are full",
            Self::NotRun => "no upstream took it",
            Self::Lost => "its answer was lost, it may have run",
            Self::OutOfTime => "its time was over before it ran",
            Self::Timeout => "no answer came in time, it may have run",
        }
    }

    /// The status. 503 promises that it has not run and never will.
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
            | Self::NoTarget
            | Self::Full
            | Self::NotRun
            | Self::OutOfTime => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// What is short, where it helps to come back.
    fn refusal_cause(self, entry: &EntryHost) -> Option<RefusalCause> {
        match self {
            Self::Starting => Some(RefusalCause::Starting(entry.uptime())),
            Self::Stopping | Self::KeysUncertain => Some(RefusalCause::ThisHost),
            // It knows no replicas yet.
            Self::NoTarget if !entry.has_routing_table() => {
                Some(RefusalCause::Starting(entry.uptime()))
            }
            Self::NoTarget => Some(RefusalCause::NoTarget),
            Self::Full => Some(RefusalCause::Full),
            Self::NotRun => Some(RefusalCause::NotRun),
            _ => None,
        }
    }

    /// The answer to a caller that has `left` of its time, if that is known.
    pub fn response(self, entry: &EntryHost, left: Option<Duration>) -> Response<Body> {
        let text = serde_json::json!({ "error": self.text() }).to_string();
        let mut response = Response::new(Body::whole(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        let refusal_cause = self.refusal_cause(entry);
        let left = left.unwrap_or(Duration::MAX);
        let after = refusal_cause.map(|s| s.retry_after(left, &mut fastrand::Rng::new()));
        let after = after.map(|span| format!("{:.3}", span.as_secs_f64()));
        if let Some(Ok(after)) = after.map(|after| HeaderValue::from_str(&after)) {
            headers.insert(header::RETRY_AFTER, after);
        }
        response
    }
}

/// An answer with a status and nothing else.
pub(crate) fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}
