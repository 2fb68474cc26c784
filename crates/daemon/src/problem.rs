//! Refusals of requests, answered as `application/problem+json`.
//!
//! Each says whether the request ran and when to retry.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use serde::Serialize;

use crate::metrics::Class;
use crate::problem_kind::ProblemKind;
use base::Ran;
use net::Body;

/// A refusal of a request.
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// The kind of refusal.
    #[serde(rename = "type")]
    pub kind: ProblemKind,
    /// The HTTP status.
    pub status: u16,
    /// A description of the cause, for people.
    pub detail: String,
    /// Whether the request ran, as far as known.
    pub ran: Ran,
    /// Whether this call itself was sent to a service, where `ran` may be of an earlier call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sent: Option<bool>,
    /// The delay before a retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The class of the request, once that is known. Used for metrics only.
    #[serde(skip)]
    pub class: Class,
}

impl Problem {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(kind: ProblemKind, detail: impl ToString) -> Self {
        Self {
            kind,
            status: kind.status().as_u16(),
            detail: detail.to_string(),
            ran: Ran::NotRun,
            sent: None,
            retry_after_ms: None,
            class: Class::default(),
        }
    }

    /// The same refusal with a more exact kind and cause.
    pub fn replaced_by(self, kind: ProblemKind, detail: impl ToString) -> Self {
        Self {
            kind,
            status: kind.status().as_u16(),
            detail: detail.to_string(),
            ..self
        }
    }

    /// Sets whether the request ran.
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Sets the class that the refusal is counted under.
    pub fn with_class(mut self, class: &Class) -> Self {
        self.class = class.clone();
        self
    }

    /// Sets whether this call itself was sent.
    pub fn sent(mut self, sent: bool) -> Self {
        self.sent = Some(sent);
        self
    }

    /// Raises `ran` to what is known of an earlier attempt.
    pub fn ran_at_least(mut self, ran: Ran) -> Self {
        self.ran = self.ran.max(ran);
        self
    }

    /// Sets the delay before a retry.
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after_ms = Some(span.as_millis() as u64);
        self
    }

    /// Converts the refusal into an HTTP response.
    pub fn into_response(self) -> Response<Body> {
        let json = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = Response::new(Body::whole(json));
        *response.status_mut() = self.kind.status();
        let headers = response.headers_mut();
        let kind = HeaderValue::from_static("application/problem+json");
        headers.insert("content-type", kind);
        if let Some(ms) = self.retry_after_ms {
            // Whole seconds, rounded up: an earlier retry would only be refused again.
            headers.insert("retry-after", HeaderValue::from(ms.div_ceil(1000).max(1)));
        }
        let ran = HeaderValue::from_str(&self.ran.to_string());
        headers.insert("x-ran", ran.unwrap_or(HeaderValue::from_static("unknown")));
        response
    }
}
